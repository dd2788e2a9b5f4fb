"""Selection of the daemons that carry a zone's traffic.

A zone has as few carriers as its traffic allows, so that each observes enough
requests to distinguish a failing target from chance. They are the first of an
order that all daemons share, strongest first, and the next one replaces a
carrier that goes. Carriers send heartbeats: one that becomes silent is skipped
long before membership declares it dead, and one that can't reach targets hands
its zone over.
"""

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.membership import capacity as capacities
from sardinepier.membership import view
from sardinepier.zones import availability, order, ranking


class Carriers:
    """Determines the carriers of each zone, from the view of one daemon.

    ``availability`` holds which daemons of the own zone can carry it.
    """

    def __init__(self, fleet: view.View, clock: clocks.Clock) -> None:
        """Start with one carrier a zone."""
        self.availability = availability.Availability(clock)
        self.own_id = fleet.own.instance_id
        self.own_zone = fleet.own.zone
        self._fleet = fleet
        self._count = 1
        self.ranking = ranking.Ranking(fleet)
        self._order = order.ZoneOrder(fleet, self.ranking, self.availability)

    @property
    def count(self) -> int:
        """The intended number of carriers of the own zone."""
        return self._count

    def set_count(self, count: int) -> None:
        """Set the number of carriers of the own zone."""
        self._count = count

    def record_heartbeat(self, sender: ids.InstanceId, count: int) -> None:
        """Record a heartbeat of ``sender`` with its number of carriers.

        The number of the first carrier applies.
        """
        self.availability.record_heartbeat(sender)
        if self._first() == sender:
            self._count = count

    def capacities(self) -> tuple[capacities.Capacity, ...]:
        """Return the capacities of the own zone's daemons, in order."""
        order = self._order.own_zone(self._count)
        return tuple(member.capacity for member in order)

    def is_first(self) -> bool:
        """Return whether this daemon is the first carrier of its zone."""
        return self._first() == self._fleet.own.instance_id

    def is_carrier(self) -> bool:
        """Return whether this daemon is one of its zone's carriers."""
        return self.own_rank() < self._count

    def hand_over(self) -> bool:
        """Let another daemon carry the zone in place of this one.

        Returns whether there is one. There is one handover at a time: if the
        next daemon can't reach the targets either, a further handover would
        not help.
        """
        zone = self.ranking.of_zone(self._fleet.own.zone)
        if any(
            self.availability.has_handed_over(member.instance_id)
            for member in zone
        ):
            return False
        if not self.is_carrier() or len(zone) <= self._count:
            return False
        self.availability.record_handover(self._fleet.own.instance_id)
        return True

    def of_zone(self, zone: ids.ZoneName) -> ranking.Members:
        """Return the carriers of ``zone``, best first.

        Other zones are assumed to have as many carriers as the own one. The
        own zone's carriers act for a zone without living daemons.
        """
        ranked = self.ranking.of_zone(zone)
        if ranked and zone != self._fleet.own.zone:
            return ranked[: self._count]
        return self.of_own_zone() or self.of_other_zones()

    def own_rank(self) -> int:
        """Return this daemon's place in its zone, 0 for the first.

        Silent carriers are skipped. The carriers are the daemons with places
        below their number.
        """
        own = self._fleet.own.instance_id
        for place, member in enumerate(self._order.own_zone(self._count)):
            if member.instance_id == own:
                return place
        return len(self._fleet.members())

    def of_own_zone(self) -> ranking.Members:
        """Return the carriers of this daemon's zone."""
        return self._order.own_zone(self._count)[: self._count]

    def of_other_zones(self, each: int = 1) -> ranking.Members:
        """Return the first ``each`` carriers of each other zone."""
        own = self._fleet.own.zone
        return tuple(
            member
            for zone, members in self.ranking.by_zone().items()
            if zone != own
            for member in members[:each]
        )

    def zone_peers(self) -> ranking.Members:
        """Return the other living daemons of the own zone."""
        own = self._fleet.own
        return tuple(
            member
            for member in self._fleet.members()
            if member.zone == own.zone and member.instance_id != own.instance_id
        )

    def is_zone_peer(self, instance_id: ids.InstanceId) -> bool:
        """Return whether a daemon is known to be of the own zone."""
        return self.zone_of(instance_id) == self._fleet.own.zone

    def zone_of(self, instance_id: ids.InstanceId) -> ids.ZoneName | None:
        """Return the zone of a daemon, None if the daemon is unknown."""
        member = self._fleet.find(instance_id)
        return member.zone if member else None

    def _first(self) -> ids.InstanceId | None:
        ordered = self._order.own_zone(self._count)
        return ordered[0].instance_id if ordered else None


def other_carriers(zone_carriers: Carriers) -> ranking.Members:
    """Return the carriers of the own zone without this daemon."""
    zone_peers = zone_carriers.zone_peers()
    return tuple(
        member for member in zone_carriers.of_own_zone() if member in zone_peers
    )


def is_ranked_first(zone_carriers: Carriers) -> bool:
    """Return whether other zones take this daemon for the first carrier.

    They don't know which daemons are silent or have handed the zone over.
    """
    ranked = zone_carriers.ranking.of_zone(zone_carriers.own_zone)
    return any(
        member.instance_id == zone_carriers.own_id for member in ranked[:1]
    )
