"""How many requests the daemon has, and whether it takes more."""

import asyncio
import types


class Activity:
    """Counts the requests in hand, and all that were begun.

    For example::

        with activity:
            await answer(request)
        await activity.idle()
    """

    def __init__(self) -> None:
        """Start without requests."""
        self.in_hand = 0
        self.begun = 0
        self.is_draining = False
        self._idle = asyncio.Event()
        self._idle.set()

    def __enter__(self) -> None:
        """Count one more request."""
        self.in_hand += 1
        self.begun += 1
        self._idle.clear()

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Count one request less."""
        self.in_hand -= 1
        if not self.in_hand:
            self._idle.set()

    async def idle(self) -> None:
        """Wait until there is no request in hand."""
        await self._idle.wait()
