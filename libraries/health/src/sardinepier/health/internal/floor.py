"""Selects the ejections that the capacity floor allows."""

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

EJECTING: Final = frozenset(
    (
        targets.Reason.GROUP_EVIDENCE,
        targets.Reason.OWN_EVIDENCE,
        targets.Reason.PEERS_EJECTED,
    ),
)
"""The verdicts for which a target should be ejected."""


def allowed_ejections(
    listed: target_list.TargetList,
    group: group_scores.Group,
    now_s: float,
    options: health_options.HealthOptions,
) -> frozenset[ids.TargetId]:
    """Return the targets that this daemon may have ejected now."""
    if not any(target.verdict in EJECTING for target in listed):
        return frozenset()
    wanted = _wanted(listed, group, now_s)
    capacity = ejection.Capacity(
        slots={
            target.target_id: target.identity.slots
            for target in listed
            if _counts_as_capacity(target, now_s, options)
        },
        floor_slots=ejection.floor_slots(
            [target.identity.slots for target in listed],
            options.floor_percent,
        ),
    )
    return ejection.allowed(wanted, capacity)


def _wanted(
    listed: target_list.TargetList,
    group: group_scores.Group,
    now_s: float,
) -> list[ejection.WantedEjection]:
    return [
        ejection.WantedEjection(
            target_id=target.target_id,
            score=group_scores.rank(target, group),
            own=target.verdict in EJECTING,
            in_force=target.state is _States.EJECTED,
        )
        for target in listed
        if target.verdict in EJECTING
        or group_scores.peers_ejecting(target, group, now_s)
    ]


def _counts_as_capacity(
    target: tracked_target.TrackedTarget,
    now_s: float,
    options: health_options.HealthOptions,
) -> bool:
    """Return whether the target's slots count as capacity.

    It must have recent good evidence and must not be cold, leaving, on trial
    or on its ramp. Ejected targets count here: ``ejection.allowed`` subtracts
    them.
    """
    if target.state in {_States.COLD, _States.LEAVING, _States.TRIAL}:
        return False
    if (
        target.last_good_s is None
        or now_s < target.readmission_state.ramp_until_s
    ):
        return False
    return now_s - target.last_good_s <= options.fresh_evidence_s
