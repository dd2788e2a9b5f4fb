"""Selection of the peers that this daemon monitors.

Each member has a point on each of a few hash rings, computed from its instance
id, and is monitored on each ring by its predecessor. Every member therefore has
a fixed number of monitors without any coordination, and a member that joins or
dies changes only one edge on each ring. Rendezvous hashing would give the same
counts only after scoring all pairs, and consistent hashing by zone would leave
some members without a monitor.
"""

import collections
import functools
import random
from collections.abc import Iterable
from typing import Final

from sardinepier.core import ids, rendezvous
from sardinepier.membership import kinds
from sardinepier.membership.internal import table

_RING_BITS: Final = 64
_RING_SIZE: Final = 2**_RING_BITS
_CHECKS_PER_SUSPECT: Final = 4
"""With three links between two zones, a zone of 500 is checked in four rounds."""


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


def linked(
    own: table.Entry,
    entries: Iterable[table.Entry],
    zone_links: int,
) -> tuple[ids.InstanceId, ...]:
    """Return the members of other zones that ``own`` monitors for its zone.

    Each zone has ``zone_links`` daemons that monitor a member of a given other
    zone: those that come first in an order which all daemons share and which
    differs between zones.
    """
    by_zone: dict[ids.ZoneName, list[table.Entry]] = {}
    for entry in entries:
        by_zone.setdefault(entry.record.identity.zone, []).append(entry)
    zone_entries = by_zone.pop(own.record.identity.zone)
    return tuple(
        min(
            by_zone[zone],
            key=functools.partial(_distance, 0, own.ring_points[0]),
        ).record.instance_id
        for zone in sorted(by_zone)
        if _place(own, zone_entries, zone) < zone_links
    )


def silent_zone_members(
    records: table.Table,
    suspected: Iterable[ids.InstanceId],
    answered: Iterable[ids.InstanceId],
    random_source: random.Random,
) -> list[ids.InstanceId]:
    """Return random members, without suspicion, of other zones that are silent.

    A zone is silent if some of its members are ``suspected`` and none of them
    ``answered`` in the same interval.
    """
    silent = collections.Counter(_zones_of(records, suspected))
    for zone in (records.own.identity.zone, *_zones_of(records, answered)):
        silent.pop(zone, None)
    chosen = []
    for zone, count in silent.items():
        candidates = [
            peer.instance_id
            for peer in records.peers()
            if peer.identity.zone == zone
            and peer.liveness is kinds.Liveness.ALIVE
        ]
        wanted = min(_CHECKS_PER_SUSPECT * count, len(candidates))
        chosen.extend(random_source.sample(candidates, wanted))
    return chosen


class MonitoredPeers:
    """The monitored peers, recomputed only when the table or options change."""

    def __init__(self, records: table.Table) -> None:
        """Select peers from ``records``."""
        self._table = records
        self._cache_key = (-1, 0, 0, 0)
        self._cached_ids: tuple[ids.InstanceId, ...] = ()

    def current(
        self,
        zone_rings: int = 0,
        zone_links: int = 0,
    ) -> tuple[ids.InstanceId, ...]:
        """Return the peers to monitor now."""
        own = self._table.entry(self._table.own.instance_id)
        rings = len(own.ring_points)
        cache_key = (self._table.version, rings, zone_rings, zone_links)
        if cache_key != self._cache_key:
            self._cached_ids = self._select(own, zone_rings, zone_links)
            self._cache_key = cache_key
        return self._cached_ids

    def _select(
        self,
        own: table.Entry,
        zone_rings: int,
        zone_links: int,
    ) -> tuple[ids.InstanceId, ...]:
        if not zone_links:
            return monitored(own, self._table.entries(), zone_rings)
        links = linked(own, self._table.entries(), zone_links)
        rings = len(own.ring_points)
        zone_peers = monitored(own, self._table.entries(), rings)
        if _has_other_zones(own, self._table.entries()):
            # The links take the place of the last ring.
            zone_peers = zone_peers[: max(1, rings - 1)]
        return tuple(dict.fromkeys((*zone_peers, *links)))


def _has_other_zones(own: table.Entry, entries: Iterable[table.Entry]) -> bool:
    zone = own.record.identity.zone
    return any(entry.record.identity.zone != zone for entry in entries)


def _zones_of(
    records: table.Table,
    names: Iterable[ids.InstanceId],
) -> list[ids.ZoneName]:
    found = (records.get(instance_id) for instance_id in names)
    return [member.identity.zone for member in found if member]


def _in_same_zone(
    own: table.Entry,
    entries: Iterable[table.Entry],
) -> list[table.Entry]:
    zone = own.record.identity.zone
    return [entry for entry in entries if entry.record.identity.zone == zone]


def _place(
    own: table.Entry,
    zone_entries: Iterable[table.Entry],
    zone: ids.ZoneName,
) -> int:
    """Return the place of ``own`` in the order for links to ``zone``."""
    mask = rendezvous.score('link', zone)
    own_key = own.ring_points[0] ^ mask
    return sum(entry.ring_points[0] ^ mask < own_key for entry in zone_entries)


def _distance(
    ring: int,
    start: int,
    entry: table.Entry,
) -> tuple[int, ids.InstanceId]:
    steps = (entry.ring_points[ring] - start) % _RING_SIZE
    return steps, entry.record.instance_id
