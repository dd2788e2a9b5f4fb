"""One daemon's part of a fleet's budget for further attempts.

The limit holds over the whole fleet and any window, but daemons don't
coordinate, and callers may move to another daemon at any moment. A daemon that
had their requests must then not have spent what its successor will spend for
them once more: a share of past requests, spent at any moment, does not add up
to the same share of a window. Therefore a request earns a part of an attempt
that has to be spent within a short time. All daemons together then spend at
most that part of the requests of a window and of that time before it, whoever
had the requests, and whether their daemon still lives.
"""

import bisect
import contextlib
import dataclasses
from collections import deque
from typing import Final

from sardinepier.core import clock
from sardinepier.routing import budget_forecast
from sardinepier.routing.internal import checks, period_counts

LIFETIME_S: Final = 1.0
"""How long after a request its part of an attempt may be spent."""

_PERCENT: Final = 100
_WINDOW_S: Final = 10.0
_RATE_PERIOD_S: Final = 1.0
_RATE_PERIODS: Final = 3
"""The rate of the ongoing requests is that of the last two to three seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Spending:
    """An attempt that was spent at ``spent_s``.

    ``earned_s`` is when requests earned it, None if it is one of the burst.
    """

    spent_s: float
    earned_s: float | None = None


class FleetBudget:
    """Grants attempts for the newest requests, and a burst in any window.

    Requests earn whole attempts: with 18 percent each fifth or sixth request
    earns one. ``rounding`` is the part of an attempt with which the daemon
    starts. Drawn at random, it makes many daemons with few requests each earn
    what all their requests allow. For example::

        spending = fleet_budget.spend()
        ...  # wait for a slot
        spending = fleet_budget.renew(spending)  # None if it is too late
    """

    def __init__(
        self,
        local_clock: clock.Clock,
        percent: float,
        *,
        window_s: float = _WINDOW_S,
        rounding: float = 0.0,
    ) -> None:
        """Earn ``percent`` of the requests, with no burst.

        Raises ``RoutingOptionError`` unless 0 <= ``percent`` <= 100,
        ``window_s`` > 0 and 0 <= ``rounding`` <= 1.
        """
        checks.percentage('percent', percent)
        checks.positive('window_s', window_s)
        checks.share('rounding', rounding)
        self._clock = local_clock
        self._fraction = percent / _PERCENT
        self._rounding = rounding
        self._burst = 0.0
        self.window_s = window_s
        self._earned = 0
        self._earned_s: deque[float] = deque()
        self._spent_s: deque[float] = deque()
        self._requests = period_counts.PeriodCounts(
            _RATE_PERIOD_S, _RATE_PERIODS
        )
        self.requested = 0
        self.granted = 0
        self.denied = 0

    def set_burst(self, attempts: float) -> None:
        """Grant this many attempts per window in addition to the earned ones.

        Raises ``RoutingOptionError`` if ``attempts`` is negative.
        """
        checks.not_negative('attempts', attempts)
        self._burst = attempts

    def record_request(self) -> None:
        """Count a new request; its further attempts must not be counted."""
        now_s = self._clock.monotonic_s()
        self.requested += 1
        self._requests.record(now_s)
        earned = int(self._fraction * self.requested + self._rounding)
        if earned > self._earned:
            self._earned = earned
            self._drop_old()
            self._earned_s.append(now_s)

    def can_spend(self) -> bool:
        """Return whether :meth:`try_spend` would grant an attempt now."""
        return self.available() >= 1

    def available(self) -> float:
        """Return how many attempts are left now."""
        self._drop_old()
        return len(self._earned_s) + self._left_of_burst()

    def try_spend(self) -> bool:
        """Take a further attempt from the budget; return whether it has one."""
        return self.spend() is not None

    def spend(self) -> Spending | None:
        """Take a further attempt, first of those that expire; None without."""
        self._drop_old()
        now_s = self._clock.monotonic_s()
        if self._earned_s:
            spending = Spending(now_s, self._earned_s.popleft())
        elif self._left_of_burst() >= 1:
            spending = Spending(now_s)
            self._spent_s.append(now_s)
        else:
            self.denied += 1
            return None
        self.granted += 1
        return spending

    def refund(self, spending: Spending) -> None:
        """Return an attempt that was not made."""
        self.granted -= 1
        if spending.earned_s is not None:
            bisect.insort(self._earned_s, spending.earned_s)
            return
        with contextlib.suppress(ValueError):
            self._spent_s.remove(spending.spent_s)

    def renew(self, spending: Spending) -> Spending | None:
        """Return the spending of an attempt that begins now.

        If what it was spent on has expired meanwhile, a new attempt is taken.
        Returns None, and refunds it, if there is none.
        """
        now_s = self._clock.monotonic_s()
        earned_s = spending.earned_s
        if earned_s is not None and earned_s > now_s - LIFETIME_S:
            return spending
        self.refund(spending)
        return self.spend()

    def forecast(self) -> budget_forecast.BudgetForecast:
        """Return what the budget will have if requests go on as they do."""
        self._drop_old()
        now_s = self._clock.monotonic_s()
        return budget_forecast.BudgetForecast(
            now_s,
            self.window_s,
            budget_forecast.Earnings(
                len(self._earned_s),
                self._fraction * self._requests.per_s(now_s),
            ),
            self._burst + self._rounding,
            tuple(self._spent_s),
        )

    def _left_of_burst(self) -> float:
        return max(0.0, self._burst + self._rounding - len(self._spent_s))

    def _drop_old(self) -> None:
        now_s = self._clock.monotonic_s()
        while self._spent_s and self._spent_s[0] <= now_s - self.window_s:
            self._spent_s.popleft()
        while self._earned_s and self._earned_s[0] <= now_s - LIFETIME_S:
            self._earned_s.popleft()
