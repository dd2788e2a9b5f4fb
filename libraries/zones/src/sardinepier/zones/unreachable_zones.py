"""Detection of zones without a reachable daemon.

Healthy targets of a zone that lost all its daemons get no requests from it any
longer. By the requirements, at most three tenths of a service's healthy targets
may be idle for two seconds while requests fail, and one zone may contain as
many.
"""

from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids

_UNREACHABLE_AFTER_S: Final = 0.7
"""Two missed reports, which are sent each quarter of a second, and a late
timer. A target that its zone did not use in the second before the loss has to
get a request within another second."""


class UnreachableZones:
    """Records the reports of other zones, and returns the overdue zones."""

    def __init__(self, clock: clocks.Clock) -> None:
        """Start without any report."""
        self._clock = clock
        self._last_seen_s: dict[ids.ZoneName, float] = {}

    def record_report(self, zone: ids.ZoneName) -> None:
        """Record a report of a carrier of ``zone``."""
        self._last_seen_s[zone] = self._clock.monotonic_s()

    def forget(self) -> None:
        """Drop all records: only a zone's first carrier receives reports."""
        self._last_seen_s.clear()

    def names(self) -> frozenset[ids.ZoneName]:
        """Return the zones whose newest report is too old."""
        since_s = self._clock.monotonic_s() - _UNREACHABLE_AFTER_S
        return frozenset(
            zone
            for zone, last_seen_s in self._last_seen_s.items()
            if last_seen_s < since_s
        )
