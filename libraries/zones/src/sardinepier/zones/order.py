"""The order of a zone's daemons, with those that can't carry it at its end."""

from sardinepier.membership import members, view
from sardinepier.zones import availability, ranking


class ZoneOrder:
    """Orders the daemons of the own zone by rank and fitness."""

    def __init__(
        self,
        fleet: view.View,
        ranked: ranking.Ranking,
        known: availability.Availability,
    ) -> None:
        """Start from the order ``ranked``, and what is ``known``."""
        self._fleet = fleet
        self._ranked = ranked
        self._known = known
        self._cleaned_version = -1

    def own_zone(self, count: int) -> ranking.Members:
        """Return the zone's members when ``count`` of them carry it.

        Carriers that fell silent are last, and those that handed the zone
        over come right before them.
        """
        self._clean()
        carrying: list[members.Member] = []
        others: list[members.Member] = []
        down: list[members.Member] = []
        silent: list[members.Member] = []
        for member in self._ranked.of_zone(self._fleet.own.zone):
            if self._known.is_down(member.instance_id):
                down.append(member)
            elif len(carrying) == count:
                others.append(member)
            elif self._is_silent(member):
                silent.append(member)
            else:
                carrying.append(member)
        self._known.expect_only(
            {expected.instance_id for expected in (*carrying, *silent)},
        )
        return (*carrying, *others, *down, *silent)

    def _is_silent(self, member: members.Member) -> bool:
        if member.instance_id == self._fleet.own.instance_id:
            return False
        return self._known.is_silent(member.instance_id)

    def _clean(self) -> None:
        """Forget those that are gone, when the members have changed."""
        if self._cleaned_version == self._fleet.version:
            return
        self._cleaned_version = self._fleet.version
        self._known.forget_all_but(
            {living.instance_id for living in self._fleet.members()},
        )
