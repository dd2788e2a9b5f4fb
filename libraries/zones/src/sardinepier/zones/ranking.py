"""The order in which the daemons of a zone are chosen to carry it.

The strongest come first, by what each tells of its processor and its link.
Among equals the order is that of rendezvous hashing, so that all daemons that
know the same members have the same order without an agreement, and a member
that comes or goes changes no other one's place against the rest.
"""

from collections.abc import Mapping
from typing import Final

from sardinepier.core import ids, rendezvous
from sardinepier.membership import members, view
from sardinepier.zones import strength

Members = tuple[members.Member, ...]

_KEY: Final = 'carrier/{0}'


class Ranking:
    """Orders the living members of each zone, anew when they change."""

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
        found: dict[ids.ZoneName, list[members.Member]] = {}
        for member in self._fleet.serving():
            found.setdefault(member.zone, []).append(member)
        return {zone: _in_order(zone, found[zone]) for zone in found}


def _in_order(zone: ids.ZoneName, found: list[members.Member]) -> Members:
    by_name = {str(member.instance_id): member for member in found}
    order = rendezvous.top_candidates(_KEY.format(zone), by_name, len(found))
    ranked = [by_name[name] for name in order]
    # Sorting keeps the order among those that are equally strong.
    ranked.sort(key=_strength, reverse=True)
    return tuple(ranked)


def _strength(member: members.Member) -> int:
    return strength.rank(member.capacity)
