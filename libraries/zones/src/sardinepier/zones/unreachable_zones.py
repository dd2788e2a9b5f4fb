"""Detection of zones without a daemon that can send to targets.

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
        self._cut_off_s: dict[ids.ZoneName, float] = {}

    def record_cut_off(self, zone: ids.ZoneName) -> None:
        """Record that the first carrier of ``zone`` reaches no target."""
        self._cut_off_s[zone] = self._clock.monotonic_s()

    def record_report(self, zone: ids.ZoneName) -> None:
        """Record a report of a carrier of ``zone``."""
        self._last_seen_s[zone] = self._clock.monotonic_s()

    def forget(self) -> None:
        """Drop all records: only a zone's first carrier receives reports."""
        self._last_seen_s.clear()
        self._cut_off_s.clear()

    def names(self) -> frozenset[ids.ZoneName]:
        """Return the zones whose newest report is too old, or says cut off."""
        since_s = self._clock.monotonic_s() - _UNREACHABLE_AFTER_S
        silent = {
            zone
            for zone, last_seen_s in self._last_seen_s.items()
            if last_seen_s < since_s
        }
        cut_off = {
            zone
            for zone, cut_off_s in self._cut_off_s.items()
            if cut_off_s >= since_s
        }
        return frozenset(silent | cut_off)
