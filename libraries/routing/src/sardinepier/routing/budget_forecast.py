"""What a retry budget will have, and when, if requests go on as they do."""

import bisect
import dataclasses
import math
from collections.abc import Sequence
from typing import Final

_STEPS: Final = 20
"""Times within a window at which the forecast is evaluated for a retry time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Earnings:
    """Attempts that requests have earned, and earn per second."""

    available: int
    per_s: float


class BudgetForecast:
    """A snapshot of a budget, and what becomes of it.

    Requests earn attempts at their present rate, and spent attempts of the
    burst return one window after they were spent. For example::

        forecast = fleet_budget.forecast()
        forecast.available_by(now_s + 2.0)  # attempts, with fractions
        forecast.next_s(3)  # when there will be three
    """

    def __init__(
        self,
        now_s: float,
        window_s: float,
        earnings: Earnings,
        burst: float,
        spent_s: Sequence[float],
    ) -> None:
        """Forecast from the earnings and the times at which burst was spent."""
        self._now_s = now_s
        self._window_s = window_s
        self._earnings = earnings
        self._burst = burst
        self._spent_s = spent_s

    def available_by(self, at_s: float) -> float:
        """Return how many attempts can be spent from now to ``at_s``."""
        returned = bisect.bisect_right(self._spent_s, at_s - self._window_s)
        left = self._burst - (len(self._spent_s) - returned)
        ahead_s = max(0.0, at_s - self._now_s)
        earned = self._earnings.available + self._earnings.per_s * ahead_s
        return earned + max(0.0, left)

    def next_s(self, attempts: float) -> float:
        """Return when so many attempts are available, infinite for never.

        It looks one window ahead, by when all that is spent has returned.
        """
        for step in range(_STEPS + 1):
            at_s = self._now_s + self._window_s * step / _STEPS
            if self.available_by(at_s) >= attempts:
                return at_s
        return math.inf
