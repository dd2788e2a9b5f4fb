"""What a retry budget will have, and when, if requests go on as they do."""

import bisect
import math
from collections.abc import Callable, Sequence
from typing import Final

PARTS: Final = 10
"""Parts of a window by which requests are counted."""

_RATE_PARTS: Final = 2
"""Whole parts that determine the rate of the ongoing requests."""

_STEPS: Final = 20
"""Times within a window at which the forecast is evaluated for a retry time."""


class BudgetForecast:
    """A snapshot of a budget, and what becomes of it.

    Spent attempts return one window after they were spent. Requests leave the
    window by parts, and new ones come at the rate of the last parts. For
    example::

        forecast = retry_budget.forecast()
        forecast.available_by(now_s + 2.0)  # attempts, with fractions
        forecast.next_s(3)  # when there will be three
    """

    def __init__(
        self,
        now_s: float,
        window_s: float,
        spent_s: Sequence[float],
        parts: Sequence[tuple[int, int]],
        allowed: Callable[[float], float],
    ) -> None:
        """Forecast from the times of spent attempts and the counted requests.

        ``parts`` are the numbers of the parts of the window with their
        requests, and ``allowed`` returns the attempts for so many requests.
        """
        self._now_s = now_s
        self._window_s = window_s
        self._spent_s = spent_s
        self._parts = parts
        self._allowed = allowed
        self._part_s = window_s / PARTS
        self._per_s = self._requests_per_s()
        self._available_now = self._available(now_s)

    def available_by(self, at_s: float) -> float:
        """Return how many attempts there will be at ``at_s``, or are now.

        What is available now isn't lost if fewer requests come later: it can
        be spent now.
        """
        return max(self._available_now, self._available(at_s))

    def next_s(self, attempts: float) -> float:
        """Return when so many attempts are available, infinite for never.

        It looks one window ahead, by when all that is spent has returned.
        """
        for step in range(_STEPS + 1):
            at_s = self._now_s + self._window_s * step / _STEPS
            if self._available(at_s) >= attempts:
                return at_s
        return math.inf

    def _available(self, at_s: float) -> float:
        returned = bisect.bisect_right(self._spent_s, at_s - self._window_s)
        requests = self._per_s * max(0.0, at_s - self._now_s)
        oldest = int(at_s / self._part_s) - PARTS
        requests += sum(
            count for number, count in self._parts if number > oldest
        )
        return self._allowed(requests) - (len(self._spent_s) - returned)

    def _requests_per_s(self) -> float:
        newest = int(self._now_s / self._part_s)
        first = newest - _RATE_PARTS
        recent = sum(count for number, count in self._parts if number >= first)
        return recent / (self._now_s - first * self._part_s)
