"""What a service's health tells the time line."""

import msgspec

from sardinepier.core import ids
from sardinepier.health import targets


class TargetChanged(msgspec.Struct, frozen=True, tag=True):
    """A target moved from one state to another, or its reason changed."""

    service: ids.ServiceName
    target_id: ids.TargetId
    before: targets.TargetState
    after: targets.TargetState
    reason: targets.Reason
    score: float
