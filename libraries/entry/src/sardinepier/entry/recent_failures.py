"""The share of the requests of a service that were not served of late."""

import math
from typing import Final

from sardinepier.core import clock as clocks

_FAILING_SHARE: Final = 0.07
"""Share of failed attempts and refused requests from which targets are not left
idle: the users allow a tenth of the requests to fail while some are. On calm days
two to four in a hundred fail."""

_MEMORY_S: Final = 2.0
_ENOUGH: Final = 4.0
"""Attempts within the memory below which their share says little."""


class RecentFailures:
    """The share of attempts that failed within the last seconds.

    A request that was refused counts like one that failed: it was not served.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        """Start without any attempt."""
        self._clock = clock
        self._attempts = 0.0
        self._failures = 0.0
        self._updated_s = clock.monotonic_s()

    def record(self, *, is_failure: bool) -> None:
        """Take in how one attempt ended."""
        self._fade()
        self._attempts += 1
        self._failures += is_failure

    def exceed_limit(self) -> bool:
        """Tell whether enough fail to use every target that may do."""
        self._fade()
        if self._attempts < _ENOUGH:
            return False
        return self._failures > _FAILING_SHARE * self._attempts

    def _fade(self) -> None:
        now_s = self._clock.monotonic_s()
        kept = math.exp((self._updated_s - now_s) / _MEMORY_S)
        self._attempts *= kept
        self._failures *= kept
        self._updated_s = now_s
