"""When a second attempt beside the first one is worth its cost.

A hedge sends the same request to a second target when the first takes longer
than is usual for the route. Only idempotent requests may be hedged, and the
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
_SHORTEST_MS: Final = 1.0
_ENOUGH: Final = 100
_MEMORY: Final = 2000
_LOG_GROWTH: Final = math.log(_GROWTH)


class HedgeDelay:
    """Learns the latency which few requests of a route exceed.

    Latencies are counted in 64 buckets, each a fifth wider than the one
    before, from 1 ms to about 97 s. All counts are halved after 2,000
    observations, so that the last few thousand decide. It stays at 256 bytes
    a route, where a general histogram of this range takes kilobytes: a
    daemon may serve thousands of routes.
    """

    __slots__ = ('_counts', '_fraction', '_total')

    def __init__(self, percentile: float = 95) -> None:
        """Learn the given percentile.

        Raises ``RoutingOptionError`` when it isn't between 0 and 100.
        """
        checks.percentage('percentile', percentile)
        self._fraction = percentile / _PERCENT
        self._counts = array.array('I', bytes(4 * _BUCKETS))
        self._total = 0

    def observe(self, latency_ms: float) -> None:
        """Take in the latency of one whole answer, in milliseconds."""
        self._counts[_bucket(latency_ms)] += 1
        self._total += 1
        if self._total >= _MEMORY:
            self._halve()

    def delay_ms(self) -> float | None:
        """Return the delay before a hedge, ``None`` until enough is known.

        It is the upper edge of the bucket that holds the percentile, hence
        never below it and at most a fifth above.
        """
        if self._total < _ENOUGH:
            return None
        remaining = self._fraction * self._total
        for bucket, count in enumerate(self._counts):
            remaining -= count
            if remaining <= 0:
                return _SHORTEST_MS * _GROWTH ** (bucket + 1)
        return _SHORTEST_MS * _GROWTH**_BUCKETS

    def _halve(self) -> None:
        self._counts = array.array('I', (one // 2 for one in self._counts))
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
        """Hedge after ``delay``, never when the route isn't idempotent."""
        self._delay = delay
        self._budget = hedge_budget
        self._idempotent = idempotent

    def delay_ms(self) -> float | None:
        """Return how long to wait for the first attempt; ``None``: for ever."""
        return self._delay.delay_ms() if self._idempotent else None

    def try_hedge(self) -> bool:
        """Take one hedge from the budget, if the route allows and has one."""
        return self._idempotent and self._budget.try_spend()


def _bucket(latency_ms: float) -> int:
    if latency_ms <= _SHORTEST_MS:
        return 0
    place = int(math.log(latency_ms / _SHORTEST_MS) / _LOG_GROWTH)
    return min(place, _BUCKETS - 1)
