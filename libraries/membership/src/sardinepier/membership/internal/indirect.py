"""Selection of the peers that probe a silent member on request."""

import random
from typing import Final

from sardinepier.core import ids
from sardinepier.membership import kinds
from sardinepier.membership.internal import record, table

_SAMPLE_SIZE: Final = 16


def choose(
    records: table.Table,
    target: ids.InstanceId,
    count: int,
    random_source: random.Random,
) -> list[record.Record]:
    """Return up to ``count`` random peers, from different zones if possible.

    One peer of each other zone comes first. Their answers distinguish a cut
    link of this daemon's zone from a member that no daemon can reach.
    """
    peers = [
        peer
        for peer in records.peers()
        if peer.instance_id != target and peer.liveness is kinds.Liveness.ALIVE
    ]
    used_zones = {records.own.identity.zone}
    preferred: list[record.Record] = []
    remaining: list[record.Record] = []
    for peer in random_source.sample(peers, min(_SAMPLE_SIZE, len(peers))):
        zone = peer.identity.zone
        (remaining if zone in used_zones else preferred).append(peer)
        used_zones.add(zone)
    return (preferred + remaining)[:count]
