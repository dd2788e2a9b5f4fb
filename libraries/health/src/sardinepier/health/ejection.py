"""The capacity floor: which of the wanted ejections may be in force.

Every daemon orders its own wanted ejections and those received from peers in
the same way: worst score first, then by target id. In this order an ejection
is accepted if the remaining capacity does not fall below the floor. Daemons
that know the same ejections therefore keep the same ones.
"""

import dataclasses
from collections.abc import Iterable, Mapping, Sequence

from sardinepier.core import ids

_PERCENT = 100


@dataclasses.dataclass(frozen=True, slots=True)
class WantedEjection:
    """A target that this daemon or a peer wants to eject."""

    target_id: ids.TargetId
    score: float
    own: bool
    """This daemon wants the ejection; otherwise only peers do."""

    in_force: bool
    """This daemon has already ejected it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """Slots of targets with fresh good evidence, and the floor."""

    slots: Mapping[ids.TargetId, int]
    """Slots of each target that counts; targets not listed count nothing."""

    floor_slots: float


def floor_slots(all_slots: Iterable[int], floor_percent: float) -> float:
    """Return the floor in slots, a percentage of all listed targets' slots."""
    return sum(all_slots) * floor_percent / _PERCENT


def allowed(
    wanted: Sequence[WantedEjection],
    capacity: Capacity,
) -> frozenset[ids.TargetId]:
    """Return the targets that this daemon may have ejected.

    An ejection in force stays if the common order accepts it. A new one must
    also keep the floor when all targets that peers have ejected count as out
    of service, whether or not the peers keep them ejected.
    """
    fitting = _fitting(wanted, capacity)
    kept = {
        candidate.target_id
        for candidate in wanted
        if candidate.own and candidate.in_force
    }
    kept &= fitting
    out = kept | {
        candidate.target_id for candidate in wanted if not candidate.own
    }
    remaining = _remaining(capacity, out)
    for candidate in _ranked(wanted):
        if (
            not candidate.own
            or candidate.in_force
            or candidate.target_id not in fitting
        ):
            continue
        remaining_after = remaining - capacity.slots.get(candidate.target_id, 0)
        if remaining_after >= capacity.floor_slots:
            kept.add(candidate.target_id)
            remaining = remaining_after
    return frozenset(kept)


def _ranked(wanted: Sequence[WantedEjection]) -> list[WantedEjection]:
    return sorted(
        wanted, key=lambda candidate: (-candidate.score, candidate.target_id)
    )


def _fitting(
    wanted: Sequence[WantedEjection],
    capacity: Capacity,
) -> set[ids.TargetId]:
    remaining: float = sum(capacity.slots.values())
    fitting = set()
    for candidate in _ranked(wanted):
        remaining_after = remaining - capacity.slots.get(candidate.target_id, 0)
        if remaining_after >= capacity.floor_slots:
            fitting.add(candidate.target_id)
            remaining = remaining_after
    return fitting


def _remaining(capacity: Capacity, out: set[ids.TargetId]) -> float:
    return sum(
        slots
        for target_id, slots in capacity.slots.items()
        if target_id not in out
    )
