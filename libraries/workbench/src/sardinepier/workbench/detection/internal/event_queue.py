"""A queue of scheduled actions, ordered by time."""

import heapq
from collections.abc import Callable

from sardinepier.core import clock as core_clock

Action = Callable[[], None]


class EventQueue:
    """Scheduled actions on one clock, which only the queue advances."""

    def __init__(self) -> None:
        """Start at 0 with an empty queue."""
        self.clock = core_clock.ManualClock()
        self._actions: list[tuple[float, int, Action]] = []
        self._sequence = 0

    def now_s(self) -> float:
        """Return the present time."""
        return self.clock.monotonic_s()

    def call_at(self, moment_s: float, action: Action) -> None:
        """Schedule an action; actions at equal times run in order of calls."""
        self._sequence += 1
        heapq.heappush(self._actions, (moment_s, self._sequence, action))

    def run(self, end_s: float) -> None:
        """Run all actions up to ``end_s``."""
        while self._actions:
            moment_s, _, action = heapq.heappop(self._actions)
            if moment_s > end_s:
                return
            self.clock.advance(moment_s - self.clock.monotonic_s())
            action()
