"""When to hedge a slow attempt with a second one.

A hedge sends the same request to a second target if the first takes longer
than is typical for the route. Only idempotent requests may be hedged, and
hedges have a budget of their own.
"""

import array
import math
from typing import Final

from sardinepier.routing import budget
from sardinepier.routing.internal import checks

_PERCENT: Final = 100
_BUCKETS: Final = 64
_GROWTH: Final = 1.2
_MIN_LATENCY_MS: Final = 1.0
_MIN_OBSERVATIONS: Final = 100
_MAX_OBSERVATIONS: Final = 2000
_LOG_GROWTH: Final = math.log(_GROWTH)


class HedgeDelay:
    """Estimates a high percentile of the latency of a route.

    Latencies are counted in 64 buckets, each a fifth wider than the one
    before, from 1 ms to about 97 s. All counts are halved after 2,000
    observations, so that only the last few thousand have weight. The counts
    take 256 bytes per route, where a general histogram of this range takes
    kilobytes: a daemon may serve thousands of routes.
    """

    __slots__ = ('_counts', '_fraction', '_total')

    def __init__(self, percentile: float = 95) -> None:
        """Estimate the given percentile.

        Raises ``RoutingOptionError`` when it isn't between 0 and 100.
        """
        checks.percentage('percentile', percentile)
        self._fraction = percentile / _PERCENT
        self._counts = array.array('I', bytes(4 * _BUCKETS))
        self._total = 0

    def observe(self, latency_ms: float) -> None:
        """Record the latency of one complete answer, in milliseconds."""
        self._counts[_bucket(latency_ms)] += 1
        self._total += 1
        if self._total >= _MAX_OBSERVATIONS:
            self._halve()

    def delay_ms(self) -> float | None:
        """Return the delay before a hedge, ``None`` with few observations.

        It is the upper bound of the bucket that contains the percentile, hence
        never below the percentile and at most a fifth above.
        """
        if self._total < _MIN_OBSERVATIONS:
            return None
        remaining = self._fraction * self._total
        for bucket, count in enumerate(self._counts):
            remaining -= count
            if remaining <= 0:
                return _MIN_LATENCY_MS * _GROWTH ** (bucket + 1)
        return _MIN_LATENCY_MS * _GROWTH**_BUCKETS

    def _halve(self) -> None:
        self._counts = array.array('I', (count // 2 for count in self._counts))
        self._total = sum(self._counts)


class HedgePolicy:
    """Decides for one route whether and when to hedge."""

    def __init__(
        self,
        delay: HedgeDelay,
        hedge_budget: budget.RetryBudget,
        *,
        idempotent: bool,
    ) -> None:
        """Hedge after ``delay``, and only if the route is idempotent."""
        self._delay = delay
        self._budget = hedge_budget
        self._idempotent = idempotent

    def delay_ms(self) -> float | None:
        """Return how long to wait before a hedge; ``None`` means no hedge."""
        return self._delay.delay_ms() if self._idempotent else None

    def try_hedge(self) -> bool:
        """Take a hedge from the budget; return whether a hedge is allowed."""
        return self._idempotent and self._budget.try_spend()


def _bucket(latency_ms: float) -> int:
    if latency_ms <= _MIN_LATENCY_MS:
        return 0
    bucket = int(math.log(latency_ms / _MIN_LATENCY_MS) / _LOG_GROWTH)
    return min(bucket, _BUCKETS - 1)
