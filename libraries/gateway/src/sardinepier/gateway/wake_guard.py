"""Finding out that the process was paused, before it acts on old knowledge.

A paused process wakes up with the same view as before, while its targets,
its peers and the settings may have changed. A task ticks in the event loop;
when the last tick is too long ago, the process stood still. ``check`` looks
at the clock itself, so that it also notices when it runs before the tick.
"""

import asyncio
import inspect
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.gateway import refusals

Confirm = Callable[[float], bool | Awaitable[bool]]
"""Says whether something was refreshed after the given local moment."""

_TICKS_PER_GAP: Final = 4
_POLL_INTERVAL_S: Final = 0.02
_RETRY_AFTER_S: Final = 1.0
_MS_PER_S: Final = 1000


class WakeGuard:
    """Lets no attempt start after a pause until the view is refreshed.

    ``on_gap`` is told of each pause in milliseconds, and of the bound.
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
        """Take pauses over ``gap_ms`` seriously.

        A request waits for the refresh for ``wait_limit_s`` at most.
        """
        self._clock = clock
        self._gap_ms = gap_ms
        self._confirms = tuple(confirms)
        self._on_gap = on_gap
        self._wait_limit_s = wait_limit_s
        self._last_tick_s = clock.monotonic_s()
        self._awake_since_s: float | None = None

    def set_gap_ms(self, gap_ms: int) -> None:
        """Use another bound from now on."""
        self._gap_ms = gap_ms

    def check(self) -> bool:
        """Return whether attempts may start now."""
        now_s = self._clock.monotonic_s()
        gap_ms = (now_s - self._last_tick_s) * _MS_PER_S
        if gap_ms > self._gap_ms:
            self._last_tick_s = now_s
            self._awake_since_s = now_s
            self._on_gap(int(gap_ms), self._gap_ms)
        return self._awake_since_s is None

    def require(self) -> None:
        """Raise ``PausedError`` when no attempt may start now."""
        if not self.check():
            raise refusals.PausedError(
                'This daemon stood still for a while and has not caught up '
                'with its peers yet',
                'Send the request again, best to another address',
                _RETRY_AFTER_S,
            )

    async def ready(self, deadline_s: float) -> None:
        """Return when attempts may start.

        Raises ``PausedError`` when that takes until ``deadline_s``, or too
        long in any case.
        """
        if self.check():
            return
        limit_s = self._clock.monotonic_s() + self._wait_limit_s
        until_s = min(deadline_s, limit_s)
        while not self.check() and self._clock.monotonic_s() < until_s:
            await asyncio.sleep(_POLL_INTERVAL_S)
        self.require()

    async def run(self) -> None:
        """Tick, and refresh after each pause, until cancelled."""
        self._last_tick_s = self._clock.monotonic_s()
        while True:
            await self.tick()
            if self._awake_since_s is None:
                await asyncio.sleep(self._gap_ms / _MS_PER_S / _TICKS_PER_GAP)
            else:
                await asyncio.sleep(_POLL_INTERVAL_S)

    async def tick(self) -> None:
        """Note that the loop runs, and refresh if it stood still before.

        For an owner of a loop of its own that calls this a few times in each
        ``gap_ms``, in place of :meth:`run`.
        """
        self.check()
        self._last_tick_s = self._clock.monotonic_s()
        since_s = self._awake_since_s
        if since_s is None or not await self._confirmed(since_s):
            return
        # Another pause while the answers were awaited starts it all again.
        self.check()
        if self._awake_since_s == since_s:
            self._awake_since_s = None

    async def _confirmed(self, since_s: float) -> bool:
        for confirm in self._confirms:
            answer = confirm(since_s)
            if inspect.isawaitable(answer):
                answer = await answer
            if not answer:
                return False
        return True
