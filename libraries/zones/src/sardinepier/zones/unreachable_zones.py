"""Which other zones have fallen silent.

Sound targets of a zone that lost all its daemons get nothing from it any more. The
users allow three tenths of a service's sound targets to be idle for two seconds
while requests fail, and as many may be in one zone.
"""

from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids

_SILENT_S: Final = 0.7
"""Two reports missed, which come each quarter of a second, and a late timer. A
target that its zone did not use in the second before the loss has to get a request
within another."""


class UnreachableZones:
    """Notes whom this daemon hears, and names those it hears no more."""

    def __init__(self, clock: clocks.Clock) -> None:
        """Start without having heard of any."""
        self._clock = clock
        self._heard_s: dict[ids.ZoneName, float] = {}

    def heard(self, zone: ids.ZoneName) -> None:
        """Note a report of a daemon that carries ``zone``."""
        self._heard_s[zone] = self._clock.monotonic_s()

    def forget(self) -> None:
        """Start anew: whoever is not first any more is not reported to."""
        self._heard_s.clear()

    def names(self) -> frozenset[ids.ZoneName]:
        """Return the zones that were heard before, and not of late."""
        since_s = self._clock.monotonic_s() - _SILENT_S
        return frozenset(
            zone for zone, heard_s in self._heard_s.items() if heard_s < since_s
        )
