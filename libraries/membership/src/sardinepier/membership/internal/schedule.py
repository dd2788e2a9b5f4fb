"""When the next tick is due, although the interval may change meanwhile."""

import asyncio
import contextlib
import random
from typing import Final

from sardinepier.membership.internal import knowledge

_JITTER: Final = 0.1
_ALONE_SHARE: Final = 0.25


def interval_s(known: knowledge.Knowledge) -> float:
    """Return how long to wait for the next tick, in seconds.

    Whoever knows nobody asks the addresses to try more often: each interval is
    one in which it takes itself for the only daemon.
    """
    usual_s = known.bounds.current.heartbeat_interval_s
    is_alone = known.table.live_count == 1
    return usual_s * _ALONE_SHARE if is_alone else usual_s


class Schedule:
    """The deadline of the next tick, on the clock of the event loop."""

    def __init__(self, random_source: random.Random) -> None:
        """Start without any deadline."""
        self._random = random_source
        self._due_s: float | None = None
        self._moved = asyncio.Event()

    def start(self, interval_s: float) -> None:
        """Plan the first tick at random within an interval."""
        self._due_s = _now_s() + self._random.uniform(0, interval_s)

    def next(self, interval_s: float) -> None:
        """Plan the next tick about an interval from now."""
        share = self._random.uniform(1 - _JITTER, 1 + _JITTER)
        self._due_s = _now_s() + interval_s * share

    def bring_forward(self, interval_s: float) -> None:
        """Wait for no longer than about an interval from now.

        Never for less: what has just been sent needs time for an answer.
        """
        if self._due_s is None:
            return
        share = self._random.uniform(1, 1 + _JITTER)
        self._due_s = min(self._due_s, _now_s() + interval_s * share)
        self._moved.set()

    async def wait(self) -> None:
        """Return when the tick is due."""
        while self._due_s is not None and self._due_s > _now_s():
            self._moved.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(self._due_s):
                    await self._moved.wait()


def _now_s() -> float:
    return asyncio.get_running_loop().time()
