"""Counts of events in the newest periods of equal length."""

import dataclasses
from collections import deque


@dataclasses.dataclass(slots=True)
class _Period:
    number: int
    count: int = 0


class PeriodCounts:
    """Counts events in the period that runs and in those right before it."""

    def __init__(self, period_s: float, periods: int) -> None:
        """Count in ``periods`` periods, with the one that runs."""
        self._period_s = period_s
        self._periods = periods
        self._counted: deque[_Period] = deque()
        self._total = 0

    def record(self, now_s: float) -> None:
        """Count one event."""
        self._drop_old(now_s)
        number = int(now_s / self._period_s)
        if not self._counted or self._counted[-1].number != number:
            self._counted.append(_Period(number))
        self._counted[-1].count += 1
        self._total += 1

    def total(self, now_s: float) -> int:
        """Return the number of events that are counted."""
        self._drop_old(now_s)
        return self._total

    def per_s(self, now_s: float) -> float:
        """Return the rate of the events that are counted."""
        first = int(now_s / self._period_s) - self._periods + 1
        return self.total(now_s) / (now_s - first * self._period_s)

    def _drop_old(self, now_s: float) -> None:
        oldest = int(now_s / self._period_s) - self._periods
        while self._counted and self._counted[0].number <= oldest:
            self._total -= self._counted.popleft().count
