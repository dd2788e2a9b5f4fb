"""Selection of the peers that this daemon monitors.

Each member has a point on each of a few hash rings, computed from its instance
id, and is monitored on each ring by its predecessor. Every member therefore has
a fixed number of monitors without any coordination, and a member that joins or
dies changes only one edge on each ring. Rendezvous hashing would give the same
counts only after scoring all pairs, and consistent hashing by zone would leave
some members without a monitor.
"""

import functools
from collections.abc import Iterable
from typing import Final

from sardinepier.core import ids
from sardinepier.membership.internal import table

_RING_BITS: Final = 64
_RING_SIZE: Final = 2**_RING_BITS


def monitored(
    own: table.Entry,
    entries: Iterable[table.Entry],
    zone_rings: int = 0,
) -> tuple[ids.InstanceId, ...]:
    """Return the next member after ``own`` on each ring.

    A member that is already chosen is skipped on later rings, so that members
    of small fleets have as many monitors as those of large ones. The first
    ``zone_rings`` rings contain only members of the daemon's own zone, unless
    all of these are chosen already.
    """
    chosen: dict[ids.InstanceId, None] = {}
    candidates = tuple(entry for entry in entries if entry is not own)
    for ring, start in enumerate(own.ring_points):
        remaining = [
            entry
            for entry in candidates
            if entry.record.instance_id not in chosen
        ]
        if ring < zone_rings:
            remaining = _in_same_zone(own, remaining) or remaining
        nearest = min(
            remaining,
            key=functools.partial(_distance, ring, start),
            default=None,
        )
        if nearest is not None:
            chosen[nearest.record.instance_id] = None
    return tuple(chosen)


class MonitoredPeers:
    """The monitored peers, recomputed only when the table or options change."""

    def __init__(self, records: table.Table) -> None:
        """Select peers from ``records``."""
        self._table = records
        self._cache_key = (-1, 0, 0)
        self._cached_ids: tuple[ids.InstanceId, ...] = ()

    def current(self, zone_rings: int = 0) -> tuple[ids.InstanceId, ...]:
        """Return the peers to monitor now."""
        own = self._table.entry(self._table.own.instance_id)
        cache_key = (self._table.version, len(own.ring_points), zone_rings)
        if cache_key != self._cache_key:
            self._cached_ids = monitored(own, self._table.entries(), zone_rings)
            self._cache_key = cache_key
        return self._cached_ids


def _in_same_zone(
    own: table.Entry,
    entries: Iterable[table.Entry],
) -> list[table.Entry]:
    zone = own.record.identity.zone
    return [entry for entry in entries if entry.record.identity.zone == zone]


def _distance(
    ring: int,
    start: int,
    entry: table.Entry,
) -> tuple[int, ids.InstanceId]:
    steps = (entry.ring_points[ring] - start) % _RING_SIZE
    return steps, entry.record.instance_id
