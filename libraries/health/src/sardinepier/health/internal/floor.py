"""Which ejections the floor leaves room for, over the tracked targets."""

from typing import Final

from sardinepier.core import ids
from sardinepier.health import ejection, targets
from sardinepier.health import options as health_options
from sardinepier.health.internal import (
    group_scores,
    target_list,
    tracked_target,
)

_States = targets.TargetState

SICK: Final = frozenset(
    (
        targets.Reason.GROUP_EVIDENCE,
        targets.Reason.OWN_EVIDENCE,
        targets.Reason.PEERS_EJECTED,
    ),
)
"""The verdicts for which a target should be out of service."""


def fitting(
    listed: target_list.TargetList,
    group: group_scores.Group,
    now_s: float,
    options: health_options.HealthOptions,
) -> frozenset[ids.TargetId]:
    """Return the targets that this daemon may have out of service now."""
    if not any(one.verdict in SICK for one in listed):
        return frozenset()
    wanted = _wanted(listed, group, now_s)
    capacity = ejection.Capacity(
        slots={
            one.target_id: one.identity.slots
            for one in listed
            if _counts(one, now_s, options)
        },
        floor_slots=ejection.floor_slots(
            [one.identity.slots for one in listed],
            options.floor_percent,
        ),
    )
    return ejection.allowed(wanted, capacity)


def _wanted(
    listed: target_list.TargetList,
    group: group_scores.Group,
    now_s: float,
) -> list[ejection.Wanted]:
    return [
        ejection.Wanted(
            target_id=one.target_id,
            score=group_scores.rank(one, group),
            own=one.verdict in SICK,
            in_force=one.state is _States.EJECTED,
        )
        for one in listed
        if one.verdict in SICK or group_scores.peers_ejecting(one, group, now_s)
    ]


def _counts(
    one: tracked_target.TrackedTarget,
    now_s: float,
    options: health_options.HealthOptions,
) -> bool:
    """Return whether the target's slots may be relied upon.

    It must have done well lately and be neither cold, leaving, on trial nor
    on its way back. An ejected one is listed here too: the walk over the
    ejections subtracts it.
    """
    if one.state in {_States.COLD, _States.LEAVING, _States.TRIAL}:
        return False
    if one.last_good_s is None or now_s < one.readmission_state.ramp_until_s:
        return False
    return now_s - one.last_good_s <= options.fresh_evidence_s
