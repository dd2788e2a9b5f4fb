"""The present rates of arrivals of one customer, by priority."""

import math
from typing import Final

_MEMORY_S: Final = 2.0
"""Time constant of the rates. With 1 s, five urgent requests that arrived at once
counted as a rate above a limit of 10 a second, and others were refused for it."""

_MIN_AGE_S: Final = 2.0
"""Rates are not extrapolated from less time, for the same reason."""

_NEGLIGIBLE_PER_S: Final = 0.01


class ArrivalRates:
    """Exponentially weighted counts of arrivals, as rates.

    The counts are divided by the weight of the time since the start, so that
    the rates are unbiased before a memory's length has passed.
    """

    def __init__(self, now_s: float) -> None:
        """Start without arrivals."""
        self._started_s = now_s
        self._updated_s = now_s
        self._counts: dict[int, float] = {}

    def record(self, priority: int, now_s: float) -> None:
        """Record the arrival of one request."""
        self._decay(now_s)
        self._counts[priority] = self._counts.get(priority, 0.0) + 1

    def per_s(self, now_s: float) -> dict[int, float]:
        """Return the arrivals per second by priority."""
        self._decay(now_s)
        age_s = max(_MIN_AGE_S, now_s - self._started_s)
        weight_s = _MEMORY_S * (1 - math.exp(-age_s / _MEMORY_S))
        return {
            priority: count / weight_s
            for priority, count in self._counts.items()
        }

    def _decay(self, now_s: float) -> None:
        decay = math.exp((self._updated_s - now_s) / _MEMORY_S)
        self._updated_s = now_s
        self._counts = {
            priority: count * decay
            for priority, count in self._counts.items()
            if count * decay > _NEGLIGIBLE_PER_S
        }
