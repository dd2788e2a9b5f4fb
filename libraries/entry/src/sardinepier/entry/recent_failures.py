"""The share of the requests of a service that recently failed."""

import math
from typing import Final

from sardinepier.core import clock as clocks

_MAX_FAILED_SHARE: Final = 0.07
"""Share of failed attempts and refused requests above which no target is left
idle. Idle targets are allowed while less than a tenth of the requests fail. In
normal operation two to four in a hundred fail."""

_MEMORY_S: Final = 2.0
_MIN_ATTEMPTS: Final = 4.0
"""Attempts within the memory below which the share is not significant."""


class RecentFailures:
    """The share of attempts that failed within the last seconds.

    A refused request counts as a failed one.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        """Create it without any attempt."""
        self._clock = clock
        self._attempts = 0.0
        self._failures = 0.0
        self._updated_s = clock.monotonic_s()

    def record(self, *, is_failure: bool) -> None:
        """Record how one attempt ended."""
        self._decay()
        self._attempts += 1
        self._failures += is_failure

    def exceeds_limit(self) -> bool:
        """Return whether so many fail that no target may be left idle."""
        self._decay()
        if self._attempts < _MIN_ATTEMPTS:
            return False
        return self._failures > _MAX_FAILED_SHARE * self._attempts

    def _decay(self) -> None:
        now_s = self._clock.monotonic_s()
        decay = math.exp((self._updated_s - now_s) / _MEMORY_S)
        self._attempts *= decay
        self._failures *= decay
        self._updated_s = now_s
