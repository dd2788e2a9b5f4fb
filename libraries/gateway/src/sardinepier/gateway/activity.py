"""What this daemon has in hand, and whether it is on its way out."""

import asyncio
import types
from typing import Self


class Activity:
    """Counts work in hand; used as a context manager around each piece.

    A keyed request counts twice while its caller waits: once for the caller
    and once for the work, which goes on when the caller hangs up.

    Once draining, every answer tells its caller to close the connection, and
    :meth:`idle` returns when nothing is in hand any more.
    """

    def __init__(self) -> None:
        """Start with nothing in hand."""
        self.in_hand = 0
        self.is_draining = False
        self._idle = asyncio.Event()
        self._idle.set()

    def __enter__(self) -> Self:
        """Count one more."""
        self.in_hand += 1
        self._idle.clear()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Count one less."""
        self.in_hand -= 1
        if not self.in_hand:
            self._idle.set()

    def begin_draining(self) -> None:
        """Tell callers from now on to go elsewhere."""
        self.is_draining = True

    async def idle(self) -> None:
        """Return when nothing is in hand."""
        await self._idle.wait()
