"""Budget of further attempts beyond the first one of each request."""

import dataclasses
from collections import deque
from typing import Final

from sardinepier.core import clock
from sardinepier.routing.internal import checks

_PARTS: Final = 10
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
        self._part_s = window_s / _PARTS
        self._parts: deque[_Part] = deque()
        self._spent_s: deque[float] = deque()
        self._requests = 0
        self.granted = 0
        self.denied = 0

    def record_request(self) -> None:
        """Count a new request; its further attempts must not be counted."""
        self._drop_old()
        self._current_part().requests += 1
        self._requests += 1

    def can_spend(self) -> bool:
        """Return whether :meth:`try_spend` would grant an attempt now."""
        self._drop_old()
        allowed = max(self._floor, self._fraction * self._requests)
        return allowed - len(self._spent_s) >= 1

    def try_spend(self) -> bool:
        """Take a further attempt from the budget; return whether it has one."""
        if not self.can_spend():
            self.denied += 1
            return False
        self.granted += 1
        self._spent_s.append(self._clock.monotonic_s())
        return True

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
