"""Which peers this daemon monitors.

Each member has a point on each of a few rings, from a hash of its name, and
is monitored on each ring by the one before it. So every member has a fixed
number of monitors wherever it runs, without agreement, and one that joins or
dies moves one edge on each ring only. Rendezvous hashing would give the same
counts only after scoring all pairs, and consistent hashing by zone leaves
some members without any monitor.
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

    A member that is next on two rings makes room for the one after it, so
    that small fleets are monitored as densely as large ones. On the first
    ``zone_rings`` rings only members of the own zone stand, if there are any
    left.
    """
    chosen: dict[ids.InstanceId, None] = {}
    others = tuple(entry for entry in entries if entry is not own)
    for ring, start in enumerate(own.ring_points):
        free = [
            entry for entry in others if entry.record.instance_id not in chosen
        ]
        if ring < zone_rings:
            free = _of_zone(own, free) or free
        nearest = min(
            free,
            key=functools.partial(_distance, ring, start),
            default=None,
        )
        if nearest is not None:
            chosen[nearest.record.instance_id] = None
    return tuple(chosen)


class Choice:
    """The monitored peers, chosen anew only when something changed."""

    def __init__(self, records: table.Table) -> None:
        """Choose from ``records``."""
        self._table = records
        self._chosen_for = (-1, 0, 0)
        self._chosen: tuple[ids.InstanceId, ...] = ()

    def current(self, zone_rings: int = 0) -> tuple[ids.InstanceId, ...]:
        """Return the peers to monitor now."""
        own = self._table.entry(self._table.own.instance_id)
        choosing_for = (self._table.version, len(own.ring_points), zone_rings)
        if choosing_for != self._chosen_for:
            self._chosen = monitored(own, self._table.entries(), zone_rings)
            self._chosen_for = choosing_for
        return self._chosen


def _of_zone(
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
