"""What is asked again right before the first byte of an attempt.

A request may have waited since it was admitted, for its body, a slot or a
connection.
"""

from typing import Final

from sardinepier.entry import (
    caller_request,
    context,
    exit_check,
    refusals,
    service_pool,
)

_LATE_SHARE: Final = 0.1
"""Part of its time with which a request is late."""

_SHORTEST_FACTOR: Final = 0.25
"""Part of the typical latency in which no target can process a request."""


def require_sendable(
    shared: context.EntryContext,
    request: caller_request.CallerRequest,
    pool: service_pool.ServicePool,
) -> None:
    """Raise if the request must not be sent any more.

    Raises ``TimeUpError``, ``GivenUpError`` or ``ExitingError``.
    """
    request.require_time_left(shared.clock)
    _require_time_to_run(shared, request, pool)
    request.require_caller()
    exit_check.require_time_to_run(shared, request, pool)


def _require_time_to_run(
    shared: context.EntryContext,
    request: caller_request.CallerRequest,
    pool: service_pool.ServicePool,
) -> None:
    """Raise ``TimeUpError`` if a target can only run out of time.

    Its caller then knows that nothing ran. A request that has most of its time
    left is always sent, so that a slow spell corrects itself.
    """
    left_s = request.left_s(shared.clock)
    is_late = left_s < _LATE_SHARE * (request.deadline_s - request.arrived_s)
    if is_late and left_s < _SHORTEST_FACTOR * pool.typical_latency_s:
        raise refusals.TimeUpError(
            'The time left is too short for any target',
            'Send it again with a later deadline',
            pool.retry_after_s(),
        )
