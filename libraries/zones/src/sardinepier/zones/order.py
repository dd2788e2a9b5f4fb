"""The order of a zone's daemons, with unavailable ones at its end."""

from sardinepier.membership import members, view
from sardinepier.zones import availability, ranking


class ZoneOrder:
    """Orders the daemons of the own zone by rank and availability."""

    def __init__(
        self,
        fleet: view.View,
        ranked: ranking.Ranking,
        records: availability.Availability,
    ) -> None:
        """Order the daemons by ``ranked``, and by availability ``records``."""
        self._fleet = fleet
        self._ranked = ranked
        self._records = records
        self._cleaned_version = -1

    def own_zone(self, count: int) -> ranking.Members:
        """Return the zone's members in order, for ``count`` carriers.

        Carriers that became silent are last, and daemons that handed the zone
        over come right before them.
        """
        self._remove_gone()
        carrying: list[members.Member] = []
        non_carriers: list[members.Member] = []
        handed_over: list[members.Member] = []
        silent: list[members.Member] = []
        for member in self._ranked.of_zone(self._fleet.own.zone):
            if self._records.has_handed_over(member.instance_id):
                handed_over.append(member)
            elif len(carrying) == count:
                non_carriers.append(member)
            elif self._is_silent(member):
                silent.append(member)
            else:
                carrying.append(member)
        self._records.expect_only(
            {expected.instance_id for expected in (*carrying, *silent)},
        )
        return (*carrying, *non_carriers, *handed_over, *silent)

    def _is_silent(self, member: members.Member) -> bool:
        if member.instance_id == self._fleet.own.instance_id:
            return False
        return self._records.is_silent(member.instance_id)

    def _remove_gone(self) -> None:
        """Remove daemons that are gone from the records, if any changed."""
        if self._cleaned_version == self._fleet.version:
            return
        self._cleaned_version = self._fleet.version
        self._records.retain_only(
            {living.instance_id for living in self._fleet.members()},
        )
