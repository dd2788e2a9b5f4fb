"""How many pieces of work a daemon has, and whether it is on its way out."""

import asyncio
import types
from typing import Self


class ActiveRequests:
    """Counts work in hand, and all that was begun.

    ``forwarded_bytes`` are those of requests and answers, each counted once by
    whoever passes them on.

    Used as a context manager around each piece. For example::

        with active_requests:
            await answer(request)
        await active_requests.wait_until_idle()
    """

    def __init__(self) -> None:
        """Start with nothing in hand."""
        self.in_flight = 0
        self.requests_started = 0
        self.forwarded_bytes = 0
        self.is_draining = False
        self._idle = asyncio.Event()
        self._idle.set()

    def __enter__(self) -> Self:
        """Count one more."""
        self.in_flight += 1
        self.requests_started += 1
        self._idle.clear()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Count one less."""
        self.in_flight -= 1
        if not self.in_flight:
            self._idle.set()

    def begin_draining(self) -> None:
        """Tell callers from now on to go elsewhere."""
        self.is_draining = True

    async def wait_until_idle(self) -> None:
        """Return when nothing is in hand."""
        await self._idle.wait()
