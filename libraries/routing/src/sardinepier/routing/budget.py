"""Budget of further attempts beyond the first one of each request."""

from collections import deque
from typing import Final

from sardinepier.core import clock
from sardinepier.routing.internal import checks, period_counts

_PARTS: Final = 10
"""Parts of a window by which requests are counted."""

_PERCENT: Final = 100
_WINDOW_S: Final = 10.0
_MIN_ATTEMPTS: Final = 1


class RetryBudget:
    """Limits further attempts to a part of the requests in a sliding window.

    At any time, the attempts granted within the window are at most ``percent``
    of its requests, or ``floor`` if that is more. With 10 percent there are
    thus at most 1.1 attempts per request if there are ten or more requests in
    a window; the floor allows a service with fewer requests to retry at all.
    It is not added to the percentage: many daemons with little traffic would
    otherwise exceed the percentage together. The limit holds for this daemon;
    one over a fleet is kept by ``fleet_budget.FleetBudget``.
    """

    def __init__(
        self,
        local_clock: clock.Clock,
        percent: float,
        *,
        floor: int = _MIN_ATTEMPTS,
        window_s: float = _WINDOW_S,
    ) -> None:
        """Grant ``percent`` of the requests per window, at least ``floor``.

        Raises ``RoutingOptionError`` unless 0 <= ``percent`` <= 100,
        ``floor`` >= 0 and ``window_s`` > 0.
        """
        checks.percentage('percent', percent)
        checks.not_negative('floor', floor)
        checks.positive('window_s', window_s)
        self._clock = local_clock
        self._fraction = percent / _PERCENT
        self._floor = floor
        self.window_s = window_s
        self._requests = period_counts.PeriodCounts(window_s / _PARTS, _PARTS)
        self._spent_s: deque[float] = deque()
        self.granted = 0
        self.denied = 0

    def record_request(self) -> None:
        """Count a new request; its further attempts must not be counted."""
        self._requests.record(self._clock.monotonic_s())

    def can_spend(self) -> bool:
        """Return whether :meth:`try_spend` would grant an attempt now."""
        now_s = self._clock.monotonic_s()
        while self._spent_s and self._spent_s[0] <= now_s - self.window_s:
            self._spent_s.popleft()
        earned = self._fraction * self._requests.total(now_s)
        allowed = max(self._floor, earned)
        return allowed - len(self._spent_s) >= 1

    def try_spend(self) -> bool:
        """Take a further attempt from the budget; return whether it has one."""
        if not self.can_spend():
            self.denied += 1
            return False
        self.granted += 1
        self._spent_s.append(self._clock.monotonic_s())
        return True
