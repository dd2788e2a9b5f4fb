"""Events of a service's health for the timeline."""

import msgspec

from sardinepier.core import ids
from sardinepier.health import targets


class TargetChanged(msgspec.Struct, frozen=True, tag=True):
    """A target changed its state or the reason for it."""

    service: ids.ServiceName
    target_id: ids.TargetId
    before: targets.TargetState
    after: targets.TargetState
    reason: targets.Reason
    score: float
