"""Which part of the fleet's burst of further attempts one daemon may use.

The users bound the attempts beyond the first of each request over the whole fleet,
a burst of them in any window of ten seconds. Nobody asks anybody: each carrier has
its part of its zone's part, and one that has just become a carrier can't know what
those before it have used. Its part grows over a window from nothing. However often
a zone changes hands, those who come after the first one use no more together than
that first one has, so that twice the share holds at any time.

For example::

    share = BurstShare(clock, zones=5, attempts=430)
    part = share.part(is_carrier=True, count=2, living=56)
"""

from typing import Final

from sardinepier.core import clock as clocks

_SHARE: Final = 0.45
"""Of the burst, for carriers that have carried for a window. Twice as much may be
used while zones change hands, which leaves a tenth for two that overlap."""

_RIPE_S: Final = 10.0
"""The users' window: what a carrier's predecessors used is out of it then."""


class BurstShare:
    """The part of one daemon, from when it became a carrier."""

    def __init__(
        self,
        clock: clocks.Clock,
        zones: int,
        attempts: int,
    ) -> None:
        """Share ``attempts`` a window equally among ``zones``."""
        self._clock = clock
        self._zone_part = _SHARE * attempts / zones
        self._since_s: float | None = None
        self._most_living = 1

    def part(self, *, is_carrier: bool, count: int, living: int) -> float:
        """Return how many attempts a window this daemon may use now.

        ``count`` carry the zone, of whose daemons ``living`` are known to live.
        One that sees a few of those it knew is likely cut off from the others,
        who have a carrier of their own.
        """
        self._most_living = max(self._most_living, living)
        if not is_carrier:
            self._since_s = None
            return 0.0
        now_s = self._clock.monotonic_s()
        if self._since_s is None:
            self._since_s = now_s
        ripe = min(1.0, (now_s - self._since_s) / _RIPE_S)
        seen = living / self._most_living
        return self._zone_part / count * ripe * seen
