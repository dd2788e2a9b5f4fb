"""An event queue in simulated time, which also serves as a clock."""

import heapq
from collections.abc import Callable
from typing import Final

_MS_PER_S: Final = 1000

Action = Callable[[], None]


class EventQueue:
    """Runs actions at their simulated time, and is a clock of that time."""

    def __init__(self) -> None:
        """Start at 0 s without events."""
        self._now_s = 0.0
        self._events: list[tuple[float, int, Action]] = []
        self._added = 0

    def monotonic_s(self) -> float:
        """Return the simulated time in seconds."""
        return self._now_s

    def boot_s(self) -> float:
        """Return the simulated time: the simulation is never suspended."""
        return self._now_s

    def wall_ms(self) -> int:
        """Return the simulated time in milliseconds."""
        return int(self._now_s * _MS_PER_S)

    def call_later(self, delay_s: float, action: Action) -> None:
        """Run ``action`` after ``delay_s`` seconds of simulated time."""
        self.call_at(self._now_s + delay_s, action)

    def call_at(self, time_s: float, action: Action) -> None:
        """Run ``action`` at ``time_s``, or now if that is in the past."""
        self._added += 1
        event = (max(time_s, self._now_s), self._added, action)
        heapq.heappush(self._events, event)

    def run_until(self, end_s: float) -> None:
        """Run all events up to ``end_s`` and stop the clock there."""
        while self._events and self._events[0][0] <= end_s:
            time_s, _, action = heapq.heappop(self._events)
            self._now_s = time_s
            action()
        self._now_s = end_s
