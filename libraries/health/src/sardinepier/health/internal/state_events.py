"""Reports every change of a target's state to the daemon."""

from collections.abc import Callable

from sardinepier.core import ids
from sardinepier.health import events, targets
from sardinepier.health.internal import tracked_target


class StateEvents:
    """Turns state changes of tracked targets into events."""

    def __init__(
        self,
        service: ids.ServiceName,
        on_event: Callable[[events.TargetChanged], None],
    ) -> None:
        """Call ``on_event`` with each change in ``service``."""
        self._service = service
        self._on_event = on_event

    def notify(
        self,
        target: tracked_target.TrackedTarget,
        before: targets.TargetState,
    ) -> None:
        """Report that ``target`` has left the state ``before``."""
        self._on_event(
            events.TargetChanged(
                service=self._service,
                target_id=target.target_id,
                before=before,
                after=target.state,
                reason=target.reason,
                score=target.suspicion.score(),
            ),
        )
