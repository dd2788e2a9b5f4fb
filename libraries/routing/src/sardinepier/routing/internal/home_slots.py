"""Assignment of the targets' slots to the daemons of a group.

Every slot is the home slot of one daemon. All daemons compute the same
assignment from the same names, without communication. If their views of the
group differ, two of them may use the same slot; the target then sheds one
request, which does no further harm.
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

    This is rendezvous hashing with a bound: each slot is assigned to the
    daemon with the highest score among those below their equal share. The
    bound keeps the shares equal, and the hashing moves few slots when a daemon
    joins or leaves; round-robin assignment would move nearly all. If there are
    more daemons than slots, each remaining daemon shares a slot with another:
    a daemon without a home slot could send no requests while the others don't
    report.
    """
    homes: dict[ids.InstanceId, dict[ids.TargetId, int]] = {
        daemon: {} for daemon in daemons
    }
    if not homes:
        return homes
    by_id = sorted(targets, key=lambda target: target.target_id)
    share = sum(target.slots for target in by_id) // len(homes)
    remaining = dict.fromkeys(homes, share)
    for slot in range(max((target.slots for target in by_id), default=0)):
        for target in by_id:
            if slot < target.slots:
                owner = _owner(f'{target.target_id}/{slot}', remaining)
                remaining[owner] -= 1
                assigned = homes[owner].get(target.target_id, 0)
                homes[owner][target.target_id] = assigned + 1
    names = [candidate.target_id for candidate in by_id]
    for daemon, own in homes.items():
        if names and not own:
            own[
                ids.TargetId(rendezvous.top_candidates(daemon, names, 1)[0])
            ] = 1
    return homes


def _owner(
    slot: str,
    remaining: dict[ids.InstanceId, int],
) -> ids.InstanceId:
    eligible = [daemon for daemon, left in remaining.items() if left > 0]
    if not eligible:
        # The equal shares are used up; some daemons get one more slot.
        eligible = list(remaining)
        remaining.update(dict.fromkeys(remaining, 1))
    return ids.InstanceId(rendezvous.top_candidates(slot, eligible, 1)[0])
