"""How long the requests of one customer wait for a token of its limit."""

import dataclasses
import itertools
import math
from collections.abc import Collection, Mapping, Sequence
from typing import Final

from sardinepier.routing import customer_demand, fleet_limits, wait_queue

_MIN_RATE_PER_S: Final = 1e-3
_RETURN_SHARE: Final = 0.8
"""Share of the rate left for a priority at which refused requests return. The
rate varies, and requests that find no token are refused once more."""

_MIN_RATE_SHARE: Final = 0.05
"""Share of a limit at which refused requests return if higher priorities use
all of it. Their rate may fall at any time."""

RESERVED_S: Final = 0.4
"""Two report intervals, for whose requests of higher priority tokens are left.
Without them, these would wait until tokens that were taken elsewhere at the same
time are refilled."""

_Demands = Collection[Sequence[customer_demand.Demand]]


@dataclasses.dataclass(frozen=True, slots=True)
class _Competition:
    """The demand that competes with requests of one priority.

    ``waiting_equal`` has the requests of the same priority at each other
    daemon.
    """

    higher_per_s: float
    waiting_higher: int
    waiting_equal: tuple[int, ...]

    def ahead(self, own_ahead: int) -> float:
        """Return the tokens that are taken or left before a request's turn.

        Each other daemon is assumed to serve as many requests of the same
        priority in the meantime as this one.
        """
        equal = sum(
            min(waiting, own_ahead + 1) for waiting in self.waiting_equal
        )
        reserved = RESERVED_S * self.higher_per_s
        return own_ahead + equal + self.waiting_higher + reserved


class TokenForecast:
    """Tokens of a customer, and the demand for them, as of ``now_s``."""

    def __init__(
        self,
        now_s: float,
        supply: fleet_limits.Supply,
        arrivals_per_s: Mapping[int, float],
        elsewhere: _Demands,
    ) -> None:
        """Use the rates by priority of this daemon and of those ``elsewhere``.

        ``arrivals_per_s`` are the sums of both.
        """
        self.now_s = now_s
        self._supply = supply
        self._arrivals_per_s = arrivals_per_s
        self._elsewhere = elsewhere
        self._competitions: dict[int, _Competition] = {}

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
        competition = self._competition(request.priority)
        supply = self._supply
        missing = competition.ahead(ahead) + 1 - supply.level
        if missing <= 0:
            return 0.0
        left_per_s = supply.rate_per_s - competition.higher_per_s
        debt = min(missing, max(0.0, -supply.level))
        # Other daemons take nothing either until a debt is refilled.
        return _duration_s(debt, left_per_s) + _duration_s(
            missing - debt, left_per_s - supply.others_per_s
        )

    def return_wait_s(self, priority: int, ahead: int) -> float:
        """Return the wait until a refused request could get a token."""
        missing = self._competition(priority).ahead(ahead) + 1
        missing = max(0.0, missing - self._supply.level)
        return missing / self._usable_rate_per_s(priority)

    def return_interval_s(self, priority: int) -> float:
        """Return the time between the returns of two refused requests.

        The daemons at which requests of this priority wait divide the rate
        equally.
        """
        sharing = 1 + len(self._competition(priority).waiting_equal)
        rate_per_s = _RETURN_SHARE * self._usable_rate_per_s(priority)
        return sharing / rate_per_s

    def _competition(self, priority: int) -> _Competition:
        known = self._competitions.get(priority)
        if known is not None:
            return known
        demands = tuple(itertools.chain.from_iterable(self._elsewhere))
        known = _Competition(
            sum(
                per_s
                for other, per_s in self._arrivals_per_s.items()
                if other < priority
            ),
            sum(
                demand.waiting
                for demand in demands
                if demand.priority < priority
            ),
            tuple(
                demand.waiting
                for demand in demands
                if demand.priority == priority
            ),
        )
        self._competitions[priority] = known
        return known

    def _usable_rate_per_s(self, priority: int) -> float:
        others_per_s = self._supply.others_per_s
        others_per_s += self._competition(priority).higher_per_s
        return max(
            self._supply.rate_per_s - others_per_s,
            _MIN_RATE_SHARE * self._supply.rate_per_s,
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
