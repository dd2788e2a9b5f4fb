"""How many further attempts the requests of each priority need."""

import math
from typing import Final

_HALF_LIFE_S: Final = 1.0
"""Time in which a past need loses half of its weight. Sheds and failures begin
and end within seconds."""

_MIN_COUNT: Final = 0.05
_PER_S: Final = math.log(2) / _HALF_LIFE_S


class RetryDemand:
    """The recent rate of needed further attempts, by priority.

    For example::

        demand = RetryDemand()
        demand.record(now_s, priority=0)
        demand.per_s(now_s, above=1)  # of priorities more urgent than 1
    """

    def __init__(self) -> None:
        """Start without any need."""
        self._counts: dict[int, float] = {}
        self._updated_s: dict[int, float] = {}

    def record(self, now_s: float, priority: int) -> None:
        """Record that a request of ``priority`` needs a further attempt."""
        self._counts[priority] = self._count(priority, now_s) + 1
        self._updated_s[priority] = now_s

    def per_s(self, now_s: float, above: float) -> float:
        """Return the attempts a second that more urgent priorities need.

        A priority is more urgent than ``above`` if its number is lower.
        """
        counted = sum(
            self._count(priority, now_s)
            for priority in self._counts
            if priority < above
        )
        return _PER_S * counted

    def _count(self, priority: int, now_s: float) -> float:
        age_s = now_s - self._updated_s.get(priority, now_s)
        retained = math.exp2(-max(0.0, age_s) / _HALF_LIFE_S)
        count = self._counts.get(priority, 0.0) * retained
        return count if count >= _MIN_COUNT else 0.0
