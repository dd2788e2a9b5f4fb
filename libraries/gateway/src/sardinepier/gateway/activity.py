"""What this daemon has in hand, and whether it is on its way out."""

import asyncio
import contextlib
import types
from collections.abc import Iterator
from typing import Final, Self

from sardinepier.gateway import refusals

BODY_MEMORY_BYTES: Final = 67_108_864
"""How much memory all bodies in hand may take."""

_MOST_IN_HAND: Final = 4096
_RETRY_AFTER_S: Final = 1.0


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
        self.body_bytes = 0
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

    @contextlib.contextmanager
    def body(self, size_bytes: int) -> Iterator[None]:
        """Set memory aside for a body while the context lasts.

        Raises ``OverloadedError`` when too much is in hand already.
        """
        wanted_bytes = self.body_bytes + size_bytes
        if wanted_bytes > BODY_MEMORY_BYTES or self.in_hand > _MOST_IN_HAND:
            raise refusals.OverloadedError(
                'This daemon has as many requests in hand as it can hold',
                'Send the request again, best to another address',
                _RETRY_AFTER_S,
            )
        self.body_bytes = wanted_bytes
        try:
            yield
        finally:
            self.body_bytes -= size_bytes

    def begin_draining(self) -> None:
        """Tell callers from now on to go elsewhere."""
        self.is_draining = True

    async def idle(self) -> None:
        """Return when nothing is in hand."""
        await self._idle.wait()
