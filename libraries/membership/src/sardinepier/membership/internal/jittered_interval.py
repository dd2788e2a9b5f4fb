"""Deadlines of periodic work whose interval may change."""

import random
from collections.abc import Callable
from typing import Final

from sardinepier.core import clock

_JITTER_FACTORS: Final = (0.5, 1.5)


class JitteredInterval:
    """The jittered deadline of the next round.

    :meth:`is_due` reads the interval at each call, so that a shorter interval
    takes effect at once and not only after a round of the previous one.
    """

    def __init__(
        self,
        interval_s: Callable[[], float],
        time_source: clock.Clock,
        random_source: random.Random,
    ) -> None:
        """Start with a round that is due now."""
        self._interval_s = interval_s
        self._clock = time_source
        self._random = random_source
        self._next_s = time_source.monotonic_s()

    def is_due(self) -> bool:
        """Return whether the next round is due."""
        now_s = self._clock.monotonic_s()
        latest_s = now_s + self._interval_s() * max(_JITTER_FACTORS)
        self._next_s = min(self._next_s, latest_s)
        return now_s >= self._next_s

    def schedule_next(self) -> None:
        """Set the next round to about an interval from now."""
        factor = self._random.uniform(*_JITTER_FACTORS)
        self._next_s = self._clock.monotonic_s() + self._interval_s() * factor
