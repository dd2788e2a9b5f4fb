"""Which daemons of a zone carry its traffic.

Few daemons carry a zone, so that each sees enough requests to tell a failing
target from bad luck, and as many as its traffic needs. They are the first of
an order that all daemons have in common, the strongest before the others, and others take over when one goes.
A carrier beats; one that falls silent is passed over at once, long before
membership gives it up, and one that can't do its work hands it over.
"""

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.membership import capacity as capacities
from sardinepier.membership import view
from sardinepier.zones import availability, order, ranking


class Carriers:
    """Names the carriers of each zone, from the view of one daemon.

    ``fitness`` is what it knows of those that may carry the own zone.
    """

    def __init__(self, fleet: view.View, clock: clocks.Clock) -> None:
        """Name one carrier a zone until another number is set."""
        self.fitness = availability.Availability(clock)
        self.own_id = fleet.own.instance_id
        self._fleet = fleet
        self._count = 1
        self._ranking = ranking.Ranking(fleet)
        self._order = order.ZoneOrder(fleet, self._ranking, self.fitness)

    @property
    def count(self) -> int:
        """How many daemons shall carry the own zone."""
        return self._count

    def set_count(self, count: int) -> None:
        """Let ``count`` daemons carry the own zone."""
        self._count = count

    def heard(self, sender: ids.InstanceId, count: int) -> None:
        """Note a beat of ``sender``, which holds ``count`` for right.

        The first of the carriers decides.
        """
        self.fitness.heard(sender)
        if self._first() == sender:
            self._count = count

    def capacities(self) -> tuple[capacities.Capacity, ...]:
        """Return what those who could carry the own zone can do, in order."""
        order = self._order.own_zone(self._count)
        return tuple(member.capacity for member in order)

    def is_first(self) -> bool:
        """Tell whether this daemon decides for its zone."""
        return self._first() == self._fleet.own.instance_id

    def is_carrier(self) -> bool:
        """Tell whether this daemon is one of its zone's carriers."""
        return self.own_rank() < self._count

    def hand_over(self) -> bool:
        """Let another daemon carry the zone in place of this one.

        Returns whether there is one. One handover at a time: where the next
        one fares no better, a further one would not help.
        """
        zone = self._ranking.of_zone(self._fleet.own.zone)
        if any(self.fitness.is_down(member.instance_id) for member in zone):
            return False
        if not self.is_carrier() or len(zone) <= self._count:
            return False
        self.fitness.stands_down(self._fleet.own.instance_id)
        return True

    def of_zone(self, zone: ids.ZoneName) -> ranking.Members:
        """Return the carriers of ``zone``, best first.

        Another zone is taken to have as many as the own one. Those of the own
        one stand in for a zone without living daemons.
        """
        ranked = self._ranking.of_zone(zone)
        if ranked and zone != self._fleet.own.zone:
            return ranked[: self._count]
        return self.of_own_zone() or self.of_other_zones()

    def own_rank(self) -> int:
        """Return this daemon's place in its zone, 0 for the first.

        Those that fell silent are passed over. Places below the number of
        carriers are theirs.
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
        """Return the first carriers of each zone but the own."""
        own = self._fleet.own.zone
        return tuple(
            member
            for zone, members in self._ranking.by_zone().items()
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

    def is_neighbour(self, instance_id: ids.InstanceId) -> bool:
        """Tell whether a daemon is known to be of the own zone."""
        return self.zone_of(instance_id) == self._fleet.own.zone

    def zone_of(self, instance_id: ids.InstanceId) -> ids.ZoneName | None:
        """Return the zone of a daemon, None if that one is not known."""
        member = self._fleet.find(instance_id)
        return member.zone if member else None

    def _first(self) -> ids.InstanceId | None:
        ordered = self._order.own_zone(self._count)
        return ordered[0].instance_id if ordered else None


def other_carriers(chosen: Carriers) -> ranking.Members:
    """Return the carriers of the own zone but for this daemon."""
    zone_peers = chosen.zone_peers()
    return tuple(
        member for member in chosen.of_own_zone() if member in zone_peers
    )
