"""The order in which daemons of a zone become its carriers.

The strongest come first, by the capacity of the processor and link that each
announces. Equally strong ones are ordered by rendezvous hashing: all daemons
with the same members get the same order without coordination, and a member that
joins or leaves doesn't change the relative order of the others.
"""

from collections.abc import Mapping
from typing import Final

from sardinepier.core import ids, rendezvous
from sardinepier.membership import members, view
from sardinepier.zones import strength

Members = tuple[members.Member, ...]

_KEY: Final = 'carrier/{0}'


class Ranking:
    """Orders the living members of each zone, and caches the order."""

    def __init__(self, fleet: view.View) -> None:
        """Order the members of ``fleet``."""
        self._fleet = fleet
        self._ranked: Mapping[ids.ZoneName, Members] = {}
        self._version = -1

    def by_zone(self) -> Mapping[ids.ZoneName, Members]:
        """Return the members of each zone that has any, best first."""
        if self._version != self._fleet.version:
            self._version = self._fleet.version
            self._ranked = self._rank()
        return self._ranked

    def of_zone(self, zone: ids.ZoneName) -> Members:
        """Return the members of one zone, best first."""
        return self.by_zone().get(zone, ())

    def _rank(self) -> Mapping[ids.ZoneName, Members]:
        by_zone: dict[ids.ZoneName, list[members.Member]] = {}
        for member in self._fleet.serving():
            by_zone.setdefault(member.zone, []).append(member)
        return {zone: _in_order(zone, by_zone[zone]) for zone in by_zone}


def _in_order(
    zone: ids.ZoneName, zone_members: list[members.Member]
) -> Members:
    by_name = {str(member.instance_id): member for member in zone_members}
    order = rendezvous.top_candidates(
        _KEY.format(zone), by_name, len(zone_members)
    )
    ranked = [by_name[name] for name in order]
    # The sort is stable: it keeps the order of equally strong members.
    ranked.sort(key=_strength, reverse=True)
    return tuple(ranked)


def _strength(member: members.Member) -> int:
    return strength.rank(member.capacity)
