"""Refuses requests that the exit of the daemon would cut off."""

from typing import Final

from sardinepier.entry import caller_request, context, refusals, service_pool

_RETRY_AFTER_S: Final = 0.001
"""Another daemon accepts the request at once."""


def require_time_to_run(
    shared: context.EntryContext,
    request: caller_request.CallerRequest,
    pool: service_pool.ServicePool,
) -> None:
    """Raise ``ExitingError`` if a target could not end its work before the exit.

    To be called before a request is sent: its caller can still go elsewhere,
    and learns nothing of a request that is cut off at work.
    """
    now_s = shared.clock.monotonic_s()
    work_s = pool.hedge_delay_s() or 0.0
    if not shared.activity.may_send(now_s, request.deadline_s, work_s):
        raise error()


def error() -> refusals.ExitingError:
    """Return the refusal of a request that could outlast the daemon."""
    return refusals.ExitingError(
        'The daemon may exit before the request would end',
        'Send the request to another address',
        _RETRY_AFTER_S,
    )
