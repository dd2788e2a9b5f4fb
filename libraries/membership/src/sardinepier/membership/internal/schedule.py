"""The schedule of ticks, whose interval may change at any time."""

import asyncio
import contextlib
import random
from typing import Final

from sardinepier.membership.internal import knowledge

_JITTER: Final = 0.1
_ALONE_INTERVAL_FACTOR: Final = 0.25


def interval_s(known: knowledge.Knowledge) -> float:
    """Return how long to wait for the next tick, in seconds.

    A daemon that knows no peer waits only a quarter of the interval and so
    probes its contacts more often, because until it finds a peer it considers
    itself the only daemon.
    """
    configured_s = known.options.current.heartbeat_interval_s
    is_alone = known.table.live_count == 1
    return configured_s * _ALONE_INTERVAL_FACTOR if is_alone else configured_s


class Schedule:
    """The deadline of the next tick, on the clock of the event loop."""

    def __init__(self, random_source: random.Random) -> None:
        """Start without a deadline."""
        self._random = random_source
        self._due_s: float | None = None
        self._rescheduled = asyncio.Event()

    def start(self, interval_s: float) -> None:
        """Set the first tick at a random point within an interval."""
        self._due_s = _now_s() + self._random.uniform(0, interval_s)

    def next(self, interval_s: float) -> None:
        """Set the next tick to about an interval from now."""
        factor = self._random.uniform(1 - _JITTER, 1 + _JITTER)
        self._due_s = _now_s() + interval_s * factor

    def bring_forward(self, interval_s: float) -> None:
        """Move the deadline to about an interval from now, if it is later.

        The wait is not shortened below an interval, because probes that were
        just sent need time to be answered.
        """
        if self._due_s is None:
            return
        factor = self._random.uniform(1, 1 + _JITTER)
        self._due_s = min(self._due_s, _now_s() + interval_s * factor)
        self._rescheduled.set()

    async def wait(self) -> None:
        """Return when the tick is due."""
        while self._due_s is not None and self._due_s > _now_s():
            self._rescheduled.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(self._due_s):
                    await self._rescheduled.wait()


def _now_s() -> float:
    return asyncio.get_running_loop().time()
