"""Detects that the process was paused, before it acts on outdated state.

After a pause the process still has its old view, while targets, peers and
settings may have changed. A task in the event loop ticks regularly; when the
last tick is too long ago, the process was paused. ``check`` reads the clock
itself, so that it detects a pause even when it runs before the next tick.
"""

import asyncio
import inspect
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.gateway import refusals

Confirm = Callable[[float], bool | Awaitable[bool]]
"""Returns whether some state was refreshed after the given monotonic time."""

_TICKS_PER_GAP: Final = 4
_POLL_INTERVAL_S: Final = 0.02
_RETRY_AFTER_S: Final = 1.0
_MS_PER_S: Final = 1000


class WakeGuard:
    """Blocks new attempts after a pause until the state is refreshed.

    ``on_gap`` is called for each pause with its length and the threshold,
    both in milliseconds.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        gap_ms: int,
        confirms: Sequence[Confirm],
        on_gap: Callable[[int, int], None],
        *,
        wait_limit_s: float = 2.0,
    ) -> None:
        """React to pauses longer than ``gap_ms``.

        A request waits for the refresh for at most ``wait_limit_s``.
        """
        self._clock = clock
        self._gap_ms = gap_ms
        self._confirms = tuple(confirms)
        self._on_gap = on_gap
        self._wait_limit_s = wait_limit_s
        self._last_tick_s = clock.monotonic_s()
        self._resumed_s: float | None = None

    def set_gap_ms(self, gap_ms: int) -> None:
        """Change the threshold for pauses."""
        self._gap_ms = gap_ms

    def check(self) -> bool:
        """Return whether attempts may start now."""
        now_s = self._clock.monotonic_s()
        gap_ms = (now_s - self._last_tick_s) * _MS_PER_S
        if gap_ms > self._gap_ms:
            self._last_tick_s = now_s
            self._resumed_s = now_s
            self._on_gap(int(gap_ms), self._gap_ms)
        return self._resumed_s is None

    def require(self) -> None:
        """Raise ``PausedError`` when no attempt may start now."""
        if not self.check():
            raise refusals.PausedError(
                'This daemon was paused and has not synchronized with its '
                'peers yet',
                'Send the request again, preferably to another address',
                _RETRY_AFTER_S,
            )

    async def ready(self, deadline_s: float) -> None:
        """Wait until attempts may start.

        Raises ``PausedError`` after ``wait_limit_s``, or at ``deadline_s`` if
        that is earlier.
        """
        if self.check():
            return
        limit_s = self._clock.monotonic_s() + self._wait_limit_s
        until_s = min(deadline_s, limit_s)
        while not self.check() and self._clock.monotonic_s() < until_s:
            await asyncio.sleep(_POLL_INTERVAL_S)
        self.require()

    async def run(self) -> None:
        """Tick, and check for the refresh after a pause, until cancelled."""
        self._last_tick_s = self._clock.monotonic_s()
        while True:
            await self.tick()
            if self._resumed_s is None:
                await asyncio.sleep(self._gap_ms / _MS_PER_S / _TICKS_PER_GAP)
            else:
                await asyncio.sleep(_POLL_INTERVAL_S)

    async def tick(self) -> None:
        """Record that the loop runs, and end a pause once it is confirmed.

        A caller with its own loop can call this a few times in each
        ``gap_ms`` instead of :meth:`run`.
        """
        self.check()
        self._last_tick_s = self._clock.monotonic_s()
        resumed_s = self._resumed_s
        if resumed_s is None or not await self._confirmed(resumed_s):
            return
        # A new pause during the confirmations requires new confirmations.
        self.check()
        if self._resumed_s == resumed_s:
            self._resumed_s = None

    async def _confirmed(self, resumed_s: float) -> bool:
        for confirm in self._confirms:
            answer = confirm(resumed_s)
            if inspect.isawaitable(answer):
                answer = await answer
            if not answer:
                return False
        return True
