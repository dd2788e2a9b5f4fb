"""How long the requests of one customer wait for a token of its limit."""

import dataclasses
import math
from collections.abc import Collection, Mapping, Sequence
from typing import Final

from sardinepier.routing import customer_demand, fleet_limits, wait_queue

_MIN_RATE_PER_S: Final = 1e-3
_MIN_RATE_SHARE: Final = 0.05
"""Share of a limit at which refused requests return if higher priorities use
all of it. Their rate may fall at any time."""

RESERVED_S: Final = 0.4
"""Two report intervals, for whose requests of higher priority tokens are left.
Without them, these would wait until tokens that were taken elsewhere at the same
time are refilled."""

_Demands = Collection[Sequence[customer_demand.Demand]]


@dataclasses.dataclass(frozen=True, slots=True)
class TokenForecast:
    """Tokens of a customer, and the demand for them, as of ``now_s``.

    ``arrivals_per_s`` are the rates by priority of this daemon and of those
    that reported theirs in ``elsewhere``.
    """

    now_s: float
    supply: fleet_limits.Supply
    arrivals_per_s: Mapping[int, float]
    elsewhere: _Demands

    def min_wait_s(
        self,
        ahead: int,
        request: wait_queue.QueuedRequest | None = None,
    ) -> float:
        """Return the wait of ``request`` behind ``ahead`` requests here.

        The requests ahead go first, and the expected ones of higher priority.
        Those of the same priority that arrive later go ahead as well once it is
        late, but not necessarily: their rate may fall before its deadline.
        """
        if request is None:
            return math.inf
        missing = self._missing(request.priority, ahead)
        if missing <= 0:
            return 0.0
        higher_per_s = self._higher_per_s(request.priority)
        left_per_s = self.supply.rate_per_s - higher_per_s
        debt = min(missing, max(0.0, -self.supply.level))
        # Other daemons take nothing either until a debt is refilled.
        return _duration_s(debt, left_per_s) + _duration_s(
            missing - debt, left_per_s - self.supply.others_per_s
        )

    def return_wait_s(self, priority: int, ahead: int) -> float:
        """Return the wait until a refused request could get a token."""
        missing = max(0.0, self._missing(priority, ahead))
        return missing / self._usable_rate_per_s(priority)

    def return_interval_s(self, priority: int) -> float:
        """Return the time between the returns of two refused requests.

        The daemons at which requests of this priority wait divide the rate
        equally.
        """
        sharing = 1 + sum(
            any(demand.priority == priority for demand in demands)
            for demands in self.elsewhere
        )
        return sharing / self._usable_rate_per_s(priority)

    def _missing(self, priority: int, ahead: int) -> float:
        """Return the tokens that have to be added before the request's turn.

        Each other daemon is assumed to serve as many requests of the same
        priority in the meantime.
        """
        elsewhere = sum(
            demand.waiting
            if demand.priority < priority
            else min(demand.waiting, ahead + 1)
            for demands in self.elsewhere
            for demand in demands
            if demand.priority <= priority
        )
        reserved = RESERVED_S * self._higher_per_s(priority)
        return ahead + elsewhere + reserved + 1 - self.supply.level

    def _higher_per_s(self, priority: int) -> float:
        """Return the rate at which requests of higher priority arrive."""
        return sum(
            per_s
            for other, per_s in self.arrivals_per_s.items()
            if other < priority
        )

    def _usable_rate_per_s(self, priority: int) -> float:
        others_per_s = self.supply.others_per_s + self._higher_per_s(priority)
        return max(
            self.supply.rate_per_s - others_per_s,
            _MIN_RATE_SHARE * self.supply.rate_per_s,
            _MIN_RATE_PER_S,
        )


def arrivals_per_s(
    own_per_s: Mapping[int, float],
    elsewhere: _Demands,
) -> Mapping[int, float]:
    """Return the sums of the own arrivals and of those of other daemons."""
    totals: dict[int, float] = dict(own_per_s)
    for demands in elsewhere:
        for demand in demands:
            known = totals.get(demand.priority, 0.0)
            totals[demand.priority] = known + demand.arrivals_per_s
    return totals


def _duration_s(tokens: float, rate_per_s: float) -> float:
    if tokens <= 0:
        return 0.0
    if rate_per_s < _MIN_RATE_PER_S:
        return math.inf
    return tokens / rate_per_s
