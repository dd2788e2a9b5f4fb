"""All that will happen, in order of time: one heap of actions."""

import heapq
from collections.abc import Callable

from sardinepier.core import clock as core_clock

Action = Callable[[], None]


class EventQueue:
    """Actions at moments of one clock, which only the agenda moves."""

    def __init__(self) -> None:
        """Start at 0 with nothing to do."""
        self.clock = core_clock.ManualClock()
        self._actions: list[tuple[float, int, Action]] = []
        self._order = 0

    def now_s(self) -> float:
        """Return the present moment."""
        return self.clock.monotonic_s()

    def call_at(self, moment_s: float, action: Action) -> None:
        """Plan an action; equal moments keep the order of planning."""
        self._order += 1
        heapq.heappush(self._actions, (moment_s, self._order, action))

    def run(self, end_s: float) -> None:
        """Carry out all actions up to ``end_s``."""
        while self._actions:
            moment_s, _, action = heapq.heappop(self._actions)
            if moment_s > end_s:
                return
            self.clock.advance(moment_s - self.clock.monotonic_s())
            action()
