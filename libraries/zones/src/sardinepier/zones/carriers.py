"""Which daemons of a zone carry its traffic.

Few daemons carry a zone, so that each sees enough requests to tell a failing
target from bad luck. They are the first by rendezvous hashing among the
living, so that all daemons name the same ones without agreement, and others
take over when one goes. A carrier beats; one that falls silent is passed over
at once, long before membership gives it up, and one that can't do its work
hands it over.
"""

from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids, rendezvous
from sardinepier.membership import members, view

BEAT_INTERVAL_S: Final = 0.25
SILENT_AFTER_S: Final = 0.9
"""Three missed beats: two may be lost or late on a busy instance."""

STANDS_DOWN_S: Final = 10.0
"""How long a carrier that handed its zone over is passed over: longer than
most losses of a link, and short enough that a zone which hands over in vain,
since nobody reaches what is lost, does so seldom."""

_KEY: Final = 'carrier/{0}'


class Carriers:
    """Names the carriers of each zone, from the view of one daemon."""

    def __init__(
        self,
        fleet: view.View,
        clock: clocks.Clock,
        count: int,
    ) -> None:
        """Name ``count`` carriers a zone."""
        self._fleet = fleet
        self._clock = clock
        self._count = count
        self._heard_s: dict[ids.InstanceId, float] = {}
        self._expected_s: dict[ids.InstanceId, float] = {}
        self._back_at_s: dict[ids.InstanceId, float] = {}
        self._ranked: dict[ids.ZoneName, tuple[members.Member, ...]] = {}
        self._ranked_version = -1

    def heard(self, sender: ids.InstanceId) -> None:
        """Note a beat of ``sender``."""
        self._heard_s[sender] = self._clock.monotonic_s()

    def stands_down(self, sender: ids.InstanceId) -> None:
        """Pass ``sender`` over for a while: it handed its zone over."""
        back_at_s = self._clock.monotonic_s() + STANDS_DOWN_S
        self._back_at_s[sender] = back_at_s

    def stand_down(self) -> None:
        """Pass this daemon itself over for a while."""
        self.stands_down(self._fleet.own.instance_id)

    def may_stand_down(self) -> bool:
        """Tell whether this daemon carries its zone and another could.

        One handover at a time: where the next one fares no better, a further
        one would not help.
        """
        now_s = self._clock.monotonic_s()
        own_zone = self._rank().get(self._fleet.own.zone, ())
        if any(self._is_down(member, now_s) for member in own_zone):
            return False
        return self.is_carrier() and len(own_zone) > self._count

    def of_zone(self, zone: ids.ZoneName) -> tuple[members.Member, ...]:
        """Return the carriers of ``zone``, best first.

        Without living daemons there, those of all other zones are returned.
        """
        ranked = self._rank().get(zone)
        if not ranked:
            return tuple(
                member
                for name in sorted(self._ranked)
                for member in self._ranked[name][: self._count]
            )
        if zone != self._fleet.own.zone:
            return ranked[: self._count]
        return self._order(zone)[: self._count]

    def own_rank(self) -> int:
        """Return this daemon's place in its zone, 0 for the first.

        Those that fell silent are passed over. Places below the number of
        carriers are theirs.
        """
        own = self._fleet.own.instance_id
        for place, member in enumerate(self._order(self._fleet.own.zone)):
            if member.instance_id == own:
                return place
        return len(self._fleet.members())

    def is_carrier(self) -> bool:
        """Tell whether this daemon is one of its zone's carriers."""
        return self.own_rank() < self._count

    def of_own_zone(self) -> tuple[members.Member, ...]:
        """Return the carriers of this daemon's zone."""
        return self.of_zone(self._fleet.own.zone)

    def of_other_zones(self) -> tuple[members.Member, ...]:
        """Return the carriers of all zones but the own."""
        own = self._fleet.own.zone
        return tuple(
            member
            for zone, ranked in self._rank().items()
            if zone != own
            for member in ranked[: self._count]
        )

    def neighbours(self) -> tuple[members.Member, ...]:
        """Return the other living daemons of the own zone."""
        own = self._fleet.own
        return tuple(
            member
            for member in self._fleet.members()
            if member.zone == own.zone and member.instance_id != own.instance_id
        )

    def _order(self, zone: ids.ZoneName) -> tuple[members.Member, ...]:
        """Return the own zone's members, silent carriers last.

        Those that handed the zone over come before the silent ones.

        Only carriers beat, so that only they can be silent; a daemon that
        has just become one is given time to begin.
        """
        now_s = self._clock.monotonic_s()
        carrying: list[members.Member] = []
        others: list[members.Member] = []
        down: list[members.Member] = []
        silent: list[members.Member] = []
        expected_s: dict[ids.InstanceId, float] = {}
        for member in self._rank().get(zone, ()):
            if self._is_down(member, now_s):
                down.append(member)
                continue
            if len(carrying) == self._count:
                others.append(member)
                continue
            name = member.instance_id
            expected_s[name] = self._expected_s.get(name, now_s)
            if self._is_silent(name, expected_s[name], now_s):
                silent.append(member)
            else:
                carrying.append(member)
        self._expected_s = expected_s
        return (*carrying, *others, *down, *silent)

    def _is_down(self, member: members.Member, now_s: float) -> bool:
        return now_s < self._back_at_s.get(member.instance_id, now_s)

    def _is_silent(
        self,
        instance_id: ids.InstanceId,
        expected_s: float,
        now_s: float,
    ) -> bool:
        if instance_id == self._fleet.own.instance_id:
            return False
        heard_s = max(expected_s, self._heard_s.get(instance_id, expected_s))
        return now_s - heard_s > SILENT_AFTER_S

    def _rank(self) -> dict[ids.ZoneName, tuple[members.Member, ...]]:
        if self._ranked_version == self._fleet.version:
            return self._ranked
        self._ranked_version = self._fleet.version
        by_zone: dict[ids.ZoneName, list[members.Member]] = {}
        for member in self._fleet.serving():
            by_zone.setdefault(member.zone, []).append(member)
        self._ranked = {
            zone: _in_order(zone, found) for zone, found in by_zone.items()
        }
        self._forget_gone()
        return self._ranked

    def _forget_gone(self) -> None:
        living = {member.instance_id for member in self._fleet.members()}
        for known in (self._heard_s, self._back_at_s):
            for instance_id in known.keys() - living:
                del known[instance_id]


def _in_order(
    zone: ids.ZoneName,
    found: list[members.Member],
) -> tuple[members.Member, ...]:
    by_name = {str(member.instance_id): member for member in found}
    order = rendezvous.first(_KEY.format(zone), by_name, len(found))
    return tuple(by_name[name] for name in order)
