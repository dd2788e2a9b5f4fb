"""How much work a target should get, next to one in full service."""

from typing import Final

from sardinepier.health import options as health_options
from sardinepier.health import readmission, targets
from sardinepier.health.internal import tracked_target

_States = targets.TargetState
_AVOIDED_WEIGHT: Final = 0.1
_AVOIDED: Final = (targets.Reason.HELD_BY_FLOOR, targets.Reason.PROBES_FAILED)


def weight(
    one: tracked_target.TrackedTarget,
    options: health_options.HealthOptions,
    now_s: float,
) -> float:
    """Return the target's weight: 0 for never, 1 for full service."""
    state = one.state
    if state is _States.EJECTED or state is _States.LEAVING:
        return 0.0
    if state is _States.TRIAL:
        return 0.0 if one.flights else readmission.TRIAL_WEIGHT
    if one.reason in _AVOIDED:
        return _AVOIDED_WEIGHT
    if state is _States.COLD:
        return _cold_weight(one, options, now_s)
    if now_s >= one.readmission_state.ramp_until_s:
        return 1.0
    return one.readmission_state.ramp_weight(now_s, options.ramp_s)


def _cold_weight(
    one: tracked_target.TrackedTarget,
    options: health_options.HealthOptions,
    now_s: float,
) -> float:
    if not one.warmed:
        return readmission.LOWEST_RAMP_WEIGHT
    left = (one.cold_until_s - now_s) / options.cold_start_s
    return max(readmission.LOWEST_RAMP_WEIGHT, min(1.0, 1 - left))
