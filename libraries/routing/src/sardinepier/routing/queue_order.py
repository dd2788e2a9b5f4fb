"""The properties of a request in a queue, and the order of the queue."""

import dataclasses
import math
from typing import Final

from sardinepier.routing.internal import wait_estimate

Group = tuple[int, int, bool]
Rank = tuple[int, int, bool, float, int]


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedRequest:
    """The properties of a request that determine its place in the queue.

    Requests with a lower ``priority`` come first. ``deadline_s`` is the time
    on the local monotonic clock by which the answer must be complete. The
    answer of a request that starts after ``preferred_start_by_s`` is late and
    has less value. ``accepts_any_target`` is true if the request can use any
    free target: if it gets none, no request behind it gets one, and the search
    ends. It must be false for a request that excludes some targets, such as a
    second attempt. ``fingerprint`` is a hash of the request, 0 for unknown.
    ``has_returned`` means that it was refused before and came back at its
    return time, so that it goes before new ones of its priority.
    """

    priority: int
    deadline_s: float
    accepts_any_target: bool = False
    preferred_start_by_s: float = math.inf
    fingerprint: int = 0
    has_returned: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class QueueRules:
    """How a queue orders requests and estimates their waits.

    With ``late_go_last``, a request past its preferred start goes behind those
    of all priorities that can be in time, otherwise behind those of its own
    priority. With ``estimates_waits``, waits are also estimated from the time
    between grants. It must be false where waits depend on the priority. All
    waiting requests are compared with the forecast of the capacity at most
    every ``forecast_interval_s``, as that takes time for each of them.
    """

    late_go_last: bool = True
    estimates_waits: bool = True
    forecast_interval_s: float = 0.0

    def rank(
        self,
        request: QueuedRequest,
        arrival: int,
        *,
        is_late: bool,
    ) -> Rank:
        """Return the rank of a request, the ``arrival``-th one."""
        first, second = request.priority, int(is_late)
        if self.late_go_last:
            first, second = second, first
        is_new = not request.has_returned
        return (first, second, is_new, request.deadline_s, arrival)

    def wait_s(self, estimate: wait_estimate.WaitEstimate, ahead: int) -> float:
        """Return the likely wait behind ``ahead`` requests, 0 if unknown."""
        return estimate.wait_s(ahead) if self.estimates_waits else 0.0


SLOT_RULES: Final = QueueRules()
