"""Which daemon of a group has which slots of the targets as its own.

Every slot is one daemon's home slot. All daemons work that out alike from
the same names, without asking each other. Where their views of the group
differ, two may use one slot: the target then sheds, and nothing worse.
"""

from collections.abc import Collection, Iterable, Mapping

from sardinepier.core import ids, rendezvous
from sardinepier.routing import choice

Homes = Mapping[ids.InstanceId, Mapping[ids.TargetId, int]]


def assign(
    targets: Iterable[choice.Candidate],
    daemons: Collection[ids.InstanceId],
) -> Homes:
    """Return how many slots of each target are home slots of each daemon.

    It is rendezvous hashing with a bound: each slot goes to the daemon of the
    highest score that has less than its equal share yet. The bound keeps the
    shares equal, the hashing keeps most slots where they are when a daemon
    comes or goes; dealing them out in turn would move nearly all. With more
    daemons than slots, those left over get a slot as well, which is then home
    to two: a daemon without any could serve nobody while others are silent.
    """
    homes: dict[ids.InstanceId, dict[ids.TargetId, int]] = {
        daemon: {} for daemon in daemons
    }
    if not homes:
        return homes
    in_order = sorted(targets, key=lambda one: one.target_id)
    share = sum(one.slots for one in in_order) // len(homes)
    room = dict.fromkeys(homes, share)
    for round_number in range(max((one.slots for one in in_order), default=0)):
        for target in in_order:
            if round_number < target.slots:
                owner = _owner(f'{target.target_id}/{round_number}', room)
                room[owner] -= 1
                dealt = homes[owner].get(target.target_id, 0)
                homes[owner][target.target_id] = dealt + 1
    names = [one.target_id for one in in_order]
    for daemon, own in homes.items():
        if names and not own:
            own[
                ids.TargetId(rendezvous.top_candidates(daemon, names, 1)[0])
            ] = 1
    return homes


def _owner(
    slot: str,
    room: dict[ids.InstanceId, int],
) -> ids.InstanceId:
    with_room = [daemon for daemon, left in room.items() if left > 0]
    if not with_room:
        # The equal shares are dealt out; the rest is one more for some.
        with_room = list(room)
        room.update(dict.fromkeys(room, 1))
    return ids.InstanceId(rendezvous.top_candidates(slot, with_room, 1)[0])
