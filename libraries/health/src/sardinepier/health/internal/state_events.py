"""Tells the daemon of every change of a target's state."""

from collections.abc import Callable

from sardinepier.core import ids
from sardinepier.health import events, targets
from sardinepier.health.internal import tracked_target


class StateEvents:
    """Turns a change of a tracked target into an event."""

    def __init__(
        self,
        service: ids.ServiceName,
        on_event: Callable[[events.TargetChanged], None],
    ) -> None:
        """Tell ``on_event`` of changes in ``service``."""
        self._service = service
        self._on_event = on_event

    def changed(
        self,
        one: tracked_target.TrackedTarget,
        before: targets.TargetState,
    ) -> None:
        """Tell that ``one`` was in the state ``before`` until now."""
        self._on_event(
            events.TargetChanged(
                service=self._service,
                target_id=one.target_id,
                before=before,
                after=one.state,
                reason=one.reason,
                score=one.suspicion.score(),
            ),
        )
