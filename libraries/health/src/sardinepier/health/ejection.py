"""The floor: which of the wanted ejections may be in force.

Every daemon walks the same list, worst score first and the target id where
scores are equal, over its own wanted ejections and those heard from peers.
An ejection fits when the capacity that remains is not below the floor. Two
daemons that know the same ejections thus keep the same ones.
"""

import dataclasses
from collections.abc import Iterable, Mapping, Sequence

from sardinepier.core import ids

_PERCENT = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Wanted:
    """A target that this daemon or a peer wants out of service."""

    target_id: ids.TargetId
    score: float
    own: bool
    """This daemon wants it; otherwise only peers have ejected it."""

    in_force: bool
    """This daemon has it ejected already."""


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """Slots with fresh good evidence, and the floor below them."""

    slots: Mapping[ids.TargetId, int]
    """For each target that counts, its slots. Others count nothing."""

    floor_slots: float


def floor_slots(all_slots: Iterable[int], floor_percent: float) -> float:
    """Return the floor of a service in slots, of all its listed targets."""
    return sum(all_slots) * floor_percent / _PERCENT


def allowed(
    wanted: Sequence[Wanted],
    capacity: Capacity,
) -> frozenset[ids.TargetId]:
    """Return the targets that this daemon may have out of service.

    An ejection in force stays when it fits into the common walk. A new one
    must also leave the floor standing with all that peers have ejected
    already gone, whether or not they will keep it.
    """
    fitting = _common_walk(wanted, capacity)
    kept = {one.target_id for one in wanted if one.own and one.in_force}
    kept &= fitting
    gone = kept | {one.target_id for one in wanted if not one.own}
    remaining = _remaining(capacity, gone)
    for one in _ranked(wanted):
        if not one.own or one.in_force or one.target_id not in fitting:
            continue
        left = remaining - capacity.slots.get(one.target_id, 0)
        if left >= capacity.floor_slots:
            kept.add(one.target_id)
            remaining = left
    return frozenset(kept)


def _ranked(wanted: Sequence[Wanted]) -> list[Wanted]:
    return sorted(wanted, key=lambda one: (-one.score, one.target_id))


def _common_walk(
    wanted: Sequence[Wanted],
    capacity: Capacity,
) -> set[ids.TargetId]:
    remaining: float = sum(capacity.slots.values())
    fitting = set()
    for one in _ranked(wanted):
        left = remaining - capacity.slots.get(one.target_id, 0)
        if left >= capacity.floor_slots:
            fitting.add(one.target_id)
            remaining = left
    return fitting


def _remaining(capacity: Capacity, gone: set[ids.TargetId]) -> float:
    return sum(
        slots
        for target_id, slots in capacity.slots.items()
        if target_id not in gone
    )
