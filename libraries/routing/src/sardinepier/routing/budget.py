"""Bounds how many attempts are made beyond one for each request."""

import dataclasses
from collections import deque
from typing import Final

from sardinepier.core import clock
from sardinepier.routing.internal import checks

_PARTS: Final = 10
_PERCENT: Final = 100
_WINDOW_S: Final = 10.0
_FLOOR: Final = 1


@dataclasses.dataclass(slots=True)
class _Part:
    """How many requests came in one tenth of the window."""

    number: int
    requests: int = 0


class RetryBudget:
    """Further attempts as a fraction of the requests in a sliding window.

    At any moment the attempts granted within the window are at most
    ``percent`` of its requests, or ``floor`` where that is more. Ten percent
    thus mean at most 1.1 attempts a request wherever ten or more requests
    come in a window; the floor lets a quieter service retry at all. It is not
    added on top: many daemons with little traffic each would else exceed the
    percentage together.

    Those who share a bound over a fleet round up by ``rounding``, which each
    draws at random. With four requests in a window, 18 percent allow 0.72 of an
    attempt: so many of a hundred such daemons have one, and their sum is what
    all their requests allow.
    """

    def __init__(
        self,
        local_clock: clock.Clock,
        percent: float,
        *,
        floor: int = _FLOOR,
        window_s: float = _WINDOW_S,
        rounding: float = 0.0,
    ) -> None:
        """Grant ``percent`` of the requests, at least ``floor``, a window.

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
        self._window_s = window_s
        self._part_s = window_s / _PARTS
        self._parts: deque[_Part] = deque()
        self._spent_s: deque[float] = deque()
        self._requests = 0
        self.granted = 0
        self.denied = 0

    def set_burst(self, attempts: float) -> None:
        """Grant so many attempts a window beside those of its requests.

        For those who share a bound over a whole fleet: each gets a part of
        what is granted beyond the percentage. Raises
        ``RoutingOptionError`` when it is negative.
        """
        checks.not_negative('attempts', attempts)
        self._burst = attempts

    def record_request(self) -> None:
        """Count a new request. Its further attempts don't count again."""
        self._forget()
        self._current().requests += 1
        self._requests += 1

    def can_spend(self) -> bool:
        """Tell whether :meth:`try_spend` would grant an attempt now."""
        self._forget()
        allowed = max(self._floor, self._fraction * self._requests)
        return len(self._spent_s) + 1 <= allowed + self._rounding + self._burst

    def try_spend(self) -> bool:
        """Take one further attempt from the budget, if there is one."""
        if not self.can_spend():
            self.denied += 1
            return False
        self.granted += 1
        self._spent_s.append(self._clock.monotonic_s())
        return True

    def _forget(self) -> None:
        """Drop what is older than the window, to the moment for what was spent."""
        now_s = self._clock.monotonic_s()
        while self._spent_s and self._spent_s[0] <= now_s - self._window_s:
            self._spent_s.popleft()
        number = int(now_s / self._part_s)
        while self._parts and self._parts[0].number <= number - _PARTS:
            self._requests -= self._parts.popleft().requests

    def _current(self) -> _Part:
        number = int(self._clock.monotonic_s() / self._part_s)
        if not self._parts or self._parts[-1].number != number:
            self._parts.append(_Part(number))
        return self._parts[-1]
