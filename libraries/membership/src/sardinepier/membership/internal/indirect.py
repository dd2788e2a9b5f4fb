"""Which peers are asked to probe one that does not answer."""

import random
from typing import Final

from sardinepier.core import ids
from sardinepier.membership import kinds
from sardinepier.membership.internal import record, table

_SAMPLE: Final = 16


def choose(
    records: table.Table,
    target: ids.InstanceId,
    count: int,
    random_source: random.Random,
) -> list[record.Record]:
    """Return up to ``count`` random peers, from different zones if possible.

    One of each other zone comes first: a link that is cut for this daemon's
    zone is then told from a member that nobody reaches.
    """
    peers = [
        held
        for held in records.peers()
        if held.instance_id != target and held.liveness is kinds.Liveness.ALIVE
    ]
    used = {records.own.identity.zone}
    first: list[record.Record] = []
    later: list[record.Record] = []
    for held in random_source.sample(peers, min(_SAMPLE, len(peers))):
        zone = held.identity.zone
        (later if zone in used else first).append(held)
        used.add(zone)
    return (first + later)[:count]
