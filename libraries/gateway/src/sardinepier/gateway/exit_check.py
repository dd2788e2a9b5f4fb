"""Refuses requests that the exit of the daemon would cut off."""

from typing import Final

from sardinepier.gateway import caller_request, refusals
from sardinepier.gateway import context as contexts

_MS_PER_S: Final = 1000
_RETRY_AFTER_S: Final = 0.001
"""Another daemon accepts the request at once."""


def require_accepted(
    context: contexts.GatewayContext, request: caller_request.CallerRequest
) -> None:
    """Raise ``ExitingError`` if a request that arrives may outlast the daemon."""
    now_s = context.clock.monotonic_s()
    if not context.activity.accepts(now_s, request.deadline_s):
        raise _error()


def require_time_to_run(
    context: contexts.GatewayContext, request: caller_request.CallerRequest
) -> None:
    """Raise ``ExitingError`` if a target could not end its work before the exit.

    To be called before a request is sent: its caller can still go elsewhere,
    and learns nothing of a request that is cut off at work.
    """
    delay_ms = request.runtime.hedge_delay(request.route.name).delay_ms() or 0.0
    if not context.activity.may_send(
        context.clock.monotonic_s(), request.deadline_s, delay_ms / _MS_PER_S
    ):
        raise _error()


def _error() -> refusals.ExitingError:
    return refusals.ExitingError(
        'The daemon may exit before the request would end',
        'Send the request to another address',
        _RETRY_AFTER_S,
    )
