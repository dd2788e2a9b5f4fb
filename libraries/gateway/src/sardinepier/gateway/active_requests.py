"""The number of requests in flight, and whether the daemon is draining."""

import asyncio
import types
from typing import Self


class ActiveRequests:
    """Counts requests in flight, and all requests that were started.

    ``forwarded_bytes`` counts the bytes of requests and answers; the code that
    forwards them adds each once.

    Used as a context manager around each request. For example::

        with active_requests:
            await answer(request)
        await active_requests.wait_until_idle()
    """

    def __init__(self) -> None:
        """Start without requests in flight."""
        self.in_flight = 0
        self.requests_started = 0
        self.forwarded_bytes = 0
        self.is_draining = False
        self._idle = asyncio.Event()
        self._idle.set()

    def __enter__(self) -> Self:
        """Count the start of a request."""
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
        """Count the end of a request."""
        self.in_flight -= 1
        if not self.in_flight:
            self._idle.set()

    def begin_draining(self) -> None:
        """Direct callers to other daemons from now on."""
        self.is_draining = True

    async def wait_until_idle(self) -> None:
        """Wait until no request is in flight."""
        await self._idle.wait()
