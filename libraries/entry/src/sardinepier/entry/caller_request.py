"""One request while the daemon has it."""

import dataclasses
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.entry import model, refusals

_RETRY_AFTER_S: Final = 0.2


@dataclasses.dataclass(slots=True, eq=False)
class CallerRequest:
    """A request that was read whole, with its route.

    ``caller_deadline_s`` is until when the caller waits, ``deadline_s`` the
    sooner of that and the route's own bound. ``headers`` go on to the target
    as they are. ``customer`` is None where no key was needed or known, and
    ``priority`` is the customer's or else the route's. ``attempts`` counts those begun, ``was_sent`` tells that a first byte went to a target, and
    ``is_abandoned`` that the caller has left, after which nothing new starts.
    """

    request_id: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    route: model.Route
    service: ids.ServiceName
    arrived_s: float
    caller_deadline_s: float
    deadline_s: float
    fingerprint: int
    priority: int
    customer: model.Customer | None = None
    attempts: int = 0
    was_sent: bool = False
    is_abandoned: bool = False

    def left_s(self, clock: clocks.Clock) -> float:
        """Return the seconds until the request is given up, not below 0."""
        return max(0.0, self.deadline_s - clock.monotonic_s())

    def require_time_left(self, clock: clocks.Clock) -> None:
        """Raise ``TimeUpError`` when there is none left."""
        if self.left_s(clock) <= 0:
            raise refusals.TimeUpError(
                'The time for the request ran out before it was sent',
                'Send it again with more time',
                _RETRY_AFTER_S,
            )
