"""Waiting for retry budget, with its metrics and log lines."""

from sardinepier.core import errors as core_errors
from sardinepier.entry import caller_request, context, service_pool
from sardinepier.routing import fleet_budget, retry_queue


async def acquire(
    shared: context.EntryContext,
    request: caller_request.CallerRequest,
    pool: service_pool.ServicePool,
    waiting: retry_queue.RetryRequest,
) -> fleet_budget.Spending:
    """Wait for budget for a retry of ``request``, and spend it.

    ``waiting`` are the properties of ``request`` that determine its place.
    Raises the refusals of :mod:`sardinepier.routing.errors`, and
    ``GivenUpError`` if the caller has left.
    """
    began_s = shared.clock.monotonic_s()
    try:
        spending = await pool.retries.queue.acquire(waiting)
    except core_errors.SardinepierError as error:
        if waiting.has_waited:
            _record_wait(shared, request, pool, began_s, type(error).__name__)
        raise
    if waiting.has_waited:
        _record_wait(shared, request, pool, began_s)
    return spending


def _record_wait(
    shared: context.EntryContext,
    request: caller_request.CallerRequest,
    pool: service_pool.ServicePool,
    began_s: float,
    error: str = '',
) -> None:
    waited_s = shared.clock.monotonic_s() - began_s
    shared.metrics.retry_wait(request.service)
    shared.decision_log.log_retry_wait(request, pool.retries, waited_s, error)
