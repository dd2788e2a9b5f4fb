"""Budget of further attempts beyond the first one of each request."""

import contextlib
import dataclasses
from collections import deque
from typing import Final

from sardinepier.core import clock
from sardinepier.routing import budget_forecast
from sardinepier.routing.internal import checks

_PARTS: Final = budget_forecast.PARTS
_PERCENT: Final = 100
_WINDOW_S: Final = 10.0
_MIN_ATTEMPTS: Final = 1


@dataclasses.dataclass(slots=True)
class _Part:
    """The number of requests in one tenth of the window."""

    number: int
    requests: int = 0


class RetryBudget:
    """Limits further attempts to a part of the requests in a sliding window.

    At any time, the attempts granted within the window are at most ``percent``
    of its requests, or ``floor`` if that is more. With 10 percent there are
    thus at most 1.1 attempts per request if there are ten or more requests in
    a window; the floor allows a service with fewer requests to retry at all.
    It is not added to the percentage: many daemons with little traffic would
    otherwise exceed the percentage together.

    Daemons that share a limit over a fleet round up by ``rounding``, which
    each draws at random. With four requests in a window, 18 percent allow 0.72
    attempts: of a hundred such daemons about 72 have one attempt, so that
    their sum is what all their requests allow.
    """

    def __init__(
        self,
        local_clock: clock.Clock,
        percent: float,
        *,
        floor: int = _MIN_ATTEMPTS,
        window_s: float = _WINDOW_S,
        rounding: float = 0.0,
    ) -> None:
        """Grant ``percent`` of the requests per window, at least ``floor``.

        Raises ``RoutingOptionError`` unless 0 <= ``percent`` <= 100,
        ``floor`` >= 0, ``window_s`` > 0 and 0 <= ``rounding`` <= 1.
        """
        checks.percentage('percent', percent)
        checks.not_negative('floor', floor)
        checks.positive('window_s', window_s)
        checks.share('rounding', rounding)
        self._clock = local_clock
        self._fraction = percent / _PERCENT
        self._floor = floor
        self._rounding = rounding
        self._burst = 0.0
        self.window_s = window_s
        self._part_s = window_s / _PARTS
        self._parts: deque[_Part] = deque()
        self._spent_s: deque[float] = deque()
        self._requests = 0
        self.requested = 0
        self.granted = 0
        self.denied = 0

    def set_burst(self, attempts: float) -> None:
        """Grant this many attempts per window in addition to the percentage.

        Daemons that share a limit over a whole fleet each get a part of such
        additional attempts. Raises ``RoutingOptionError`` if ``attempts`` is
        negative.
        """
        checks.not_negative('attempts', attempts)
        self._burst = attempts

    def record_request(self) -> None:
        """Count a new request; its further attempts must not be counted."""
        self._drop_old()
        self._current_part().requests += 1
        self._requests += 1
        self.requested += 1

    def can_spend(self) -> bool:
        """Return whether :meth:`try_spend` would grant an attempt now."""
        return self.available() >= 1

    def available(self) -> float:
        """Return how many attempts are left now; below 0 after a cut."""
        self._drop_old()
        return self._allowed(self._requests) - len(self._spent_s)

    def allowed(self) -> float:
        """Return how many attempts a window has, spent ones included."""
        self._drop_old()
        return self._allowed(self._requests)

    def try_spend(self) -> bool:
        """Take a further attempt from the budget; return whether it has one."""
        return self.spend() is not None

    def spend(self) -> float | None:
        """Take a further attempt; return the time for :meth:`refund`, or None."""
        if not self.can_spend():
            self.denied += 1
            return None
        self.granted += 1
        spent_s = self._clock.monotonic_s()
        self._spent_s.append(spent_s)
        return spent_s

    def refund(self, spent_s: float) -> None:
        """Return the attempt that was spent at ``spent_s`` and not made."""
        with contextlib.suppress(ValueError):
            self._spent_s.remove(spent_s)
            self.granted -= 1

    def made(self, spent_s: float) -> None:
        """Count the attempt that was spent at ``spent_s`` from now on.

        It may have waited for a slot since. Counted from then, it would return
        before a window has passed since it was sent.
        """
        with contextlib.suppress(ValueError):
            self._spent_s.remove(spent_s)
        self._spent_s.append(self._clock.monotonic_s())

    def forecast(self) -> budget_forecast.BudgetForecast:
        """Return what the budget will have if requests go on as they do."""
        self._drop_old()
        return budget_forecast.BudgetForecast(
            self._clock.monotonic_s(),
            self.window_s,
            tuple(self._spent_s),
            tuple((part.number, part.requests) for part in self._parts),
            self._allowed,
        )

    def _allowed(self, requests: float) -> float:
        allowed = max(self._floor, self._fraction * requests)
        return allowed + self._rounding + self._burst

    def _drop_old(self) -> None:
        """Drop requests older than the window by tenths, and attempts exactly."""
        now_s = self._clock.monotonic_s()
        while self._spent_s and self._spent_s[0] <= now_s - self.window_s:
            self._spent_s.popleft()
        number = int(now_s / self._part_s)
        while self._parts and self._parts[0].number <= number - _PARTS:
            self._requests -= self._parts.popleft().requests

    def _current_part(self) -> _Part:
        number = int(self._clock.monotonic_s() / self._part_s)
        if not self._parts or self._parts[-1].number != number:
            self._parts.append(_Part(number))
        return self._parts[-1]
