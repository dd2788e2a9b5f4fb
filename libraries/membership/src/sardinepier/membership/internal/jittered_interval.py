"""Deadlines of work that is repeated, although its interval may change."""

import random
from collections.abc import Callable
from typing import Final

from sardinepier.core import clock

_SPREAD: Final = (0.5, 1.5)


class JitteredInterval:
    """The deadline of the next round, never further off than the interval.

    The interval is asked for at each look, so that a shorter one holds at
    once and not only after a round of the former one.
    """

    def __init__(
        self,
        interval_s: Callable[[], float],
        time_source: clock.Clock,
        random_source: random.Random,
    ) -> None:
        """Start with a round that is due."""
        self._interval_s = interval_s
        self._clock = time_source
        self._random = random_source
        self._next_s = time_source.monotonic_s()

    def is_due(self) -> bool:
        """Tell whether the next round is due."""
        now_s = self._clock.monotonic_s()
        latest_s = now_s + self._interval_s() * max(_SPREAD)
        self._next_s = min(self._next_s, latest_s)
        return now_s >= self._next_s

    def renew(self) -> None:
        """Plan the next round about an interval from now."""
        spread = self._random.uniform(*_SPREAD)
        self._next_s = self._clock.monotonic_s() + self._interval_s() * spread
