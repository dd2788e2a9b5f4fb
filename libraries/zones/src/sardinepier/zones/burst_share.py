"""One daemon's share of the fleet's burst of further attempts.

The attempts beyond the first of each request are limited over the whole fleet,
to a burst in any window of ten seconds. The daemons don't coordinate: each
carrier has its share of its zone's share. A new carrier can't know what its
predecessors used, so that its share grows from zero over a window. However
often a zone is handed over, all successors of a carrier together use no more
than the share of that carrier, so that the zone never uses more than twice its
share.

For example::

    share = BurstShare(clock, zones=5, attempts=430)
    part = share.part(is_carrier=True, count=2, living=56)
"""

from typing import Final

from sardinepier.core import clock as clocks

_CARRIER_SHARE: Final = 0.45
"""Share of the burst for zones whose carriers have served for a whole window.
Up to twice as much is used during handovers, which leaves a tenth for carriers
that overlap."""

_GROWTH_TIME_S: Final = 10.0
"""Time for which a new carrier's share grows: the window of the limit, which by
then no longer contains what its predecessors used."""


class BurstShare:
    """The share of one daemon, which grows after it became a carrier."""

    def __init__(
        self,
        clock: clocks.Clock,
        zones: int,
        attempts: int,
    ) -> None:
        """Divide ``attempts`` a window equally among ``zones``."""
        self._clock = clock
        self._zone_share = _CARRIER_SHARE * attempts / zones
        self._carrier_since_s: float | None = None
        self._max_living = 1

    def part(self, *, is_carrier: bool, count: int, living: int) -> float:
        """Return how many attempts a window this daemon may use now.

        The zone has ``count`` carriers and ``living`` daemons that are known to
        live. A daemon that sees only some of those it knew is probably
        partitioned from the others, which then have a carrier of their own.
        """
        self._max_living = max(self._max_living, living)
        if not is_carrier:
            self._carrier_since_s = None
            return 0.0
        now_s = self._clock.monotonic_s()
        if self._carrier_since_s is None:
            self._carrier_since_s = now_s
        growth = min(1.0, (now_s - self._carrier_since_s) / _GROWTH_TIME_S)
        visible_share = living / self._max_living
        return self._zone_share / count * growth * visible_share
