"""The weight of a target, relative to one in full service."""

from typing import Final

from sardinepier.health import options as health_options
from sardinepier.health import readmission, targets
from sardinepier.health.internal import tracked_target

_States = targets.TargetState
_AVOIDED_WEIGHT: Final = 0.1
_AVOIDED_REASONS: Final = (
    targets.Reason.HELD_BY_FLOOR,
    targets.Reason.PROBES_FAILED,
)


def weight(
    target: tracked_target.TrackedTarget,
    options: health_options.HealthOptions,
    now_s: float,
) -> float:
    """Return the target's weight, from 0 (never chosen) to 1 (full service)."""
    state = target.state
    if state is _States.EJECTED or state is _States.LEAVING:
        return 0.0
    if state is _States.TRIAL:
        return 0.0 if target.in_flight_attempts else readmission.TRIAL_WEIGHT
    if target.reason in _AVOIDED_REASONS:
        return _AVOIDED_WEIGHT
    if state is _States.COLD:
        return _cold_weight(target, options, now_s)
    if now_s >= target.readmission_state.ramp_until_s:
        return 1.0
    return target.readmission_state.ramp_weight(now_s, options.ramp_s)


def _cold_weight(
    target: tracked_target.TrackedTarget,
    options: health_options.HealthOptions,
    now_s: float,
) -> float:
    if not target.has_good_answer:
        return readmission.MIN_RAMP_WEIGHT
    remaining = (target.cold_until_s - now_s) / options.cold_start_s
    return max(readmission.MIN_RAMP_WEIGHT, min(1.0, 1 - remaining))
