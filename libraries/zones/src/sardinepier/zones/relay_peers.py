"""The order in which a daemon that is cut off relays requests to others."""

import random
from collections.abc import Iterator, Sequence

import yarl

from sardinepier.core import ids
from sardinepier.entry import relaying
from sardinepier.membership import members
from sardinepier.zones import carriers


class RelayPeers:
    """Names peers: carriers first, as they use the targets all the time.

    One of the own zone comes before those of other zones, which come before the
    others of the own zone: a whole zone may be cut off.
    """

    def __init__(
        self, zone_carriers: carriers.Carriers, random_source: random.Random
    ) -> None:
        """Name the daemons that ``zone_carriers`` knows."""
        self._carriers = zone_carriers
        self._random = random_source

    @property
    def own_id(self) -> ids.InstanceId:
        """Return the id of this daemon."""
        return self._carriers.own_id

    def knows_any(self) -> bool:
        """Return whether there is any other daemon to relay to."""
        return any(
            member.relay_port and member.instance_id != self._carriers.own_id
            for zone_members in self._carriers.ranking.by_zone().values()
            for member in zone_members
        )

    def candidates(self) -> Iterator[relaying.Peer]:
        """Yield the daemons that accept relayed requests, best first."""
        named = {self._carriers.own_id}
        for tier in self._tiers():
            for member in self._random.sample(tier, len(tier)):
                if member.instance_id in named or not member.relay_port:
                    continue
                named.add(member.instance_id)
                yield _peer(member)

    def _tiers(self) -> Iterator[Sequence[members.Member]]:
        zone_carriers = self._carriers
        own_zone = [
            member
            for member in zone_carriers.of_own_zone()
            if member.instance_id != zone_carriers.own_id
            and not zone_carriers.availability.has_handed_over(
                member.instance_id
            )
        ]
        yield self._random.sample(own_zone, min(1, len(own_zone)))
        yield zone_carriers.of_other_zones(zone_carriers.count)
        yield own_zone
        yield from zone_carriers.ranking.by_zone().values()


def _peer(member: members.Member) -> relaying.Peer:
    return relaying.Peer(
        member.instance_id,
        member.zone,
        yarl.URL.build(
            scheme='http', host=member.http_ip, port=member.relay_port
        ),
    )
