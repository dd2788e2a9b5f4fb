"""Waits until the limit of a request's customer admits the request."""

from typing import Final

from sardinepier.core import ids
from sardinepier.entry import (
    caller_request,
    context,
    forwarding,
    refusals,
    service_pool,
)
from sardinepier.routing import errors, wait_queue

_TOKEN_SHARE: Final = 0.6
"""Share of the time until its preferred start for which a request may wait for
a token without going behind others. The remainder is for its wait for a slot,
and for answers that take longer than usual."""

_MAX_SERVICE_SHARE: Final = 0.5
"""Share of a request's time that is kept for its processing at most. If the
typical latency is longer, only an attempt shows whether that still holds."""


class CustomerAdmission:
    """Takes the tokens of requests whose customer has a limit."""

    def __init__(self, shared: context.EntryContext) -> None:
        """Use the shared objects of the request path."""
        self._shared = shared
        self._queues = shared.services.customer_queues

    async def admit(
        self,
        customer: ids.CustomerName,
        request: caller_request.CallerRequest,
    ) -> None:
        """Wait for a token.

        Raises ``RateLimitError`` as soon as none is expected in time.
        """
        pool = self._shared.services.pool(request.service)
        try:
            has_waited = await self._queues.admit(
                customer, _queued_request(request, pool)
            )
        except errors.CustomerLimitError as error:
            pool.refused()
            self._shared.metrics.customer_limited(
                request.priority, is_refused=True
            )
            raise refusals.RateLimitError(
                error.what, error.remedy, error.retry_after_s
            ) from error
        if has_waited:
            request.admitted_s = self._shared.clock.monotonic_s()
            self._shared.metrics.customer_limited(
                request.priority, is_refused=False
            )

    def refund(self, customer: ids.CustomerName) -> None:
        """Put back the token of a request that did not run."""
        self._queues.refund(customer)


def _queued_request(
    request: caller_request.CallerRequest,
    pool: service_pool.ServicePool,
) -> wait_queue.QueuedRequest:
    """Return the request with the latest start that its deadline allows."""
    left_s = request.deadline_s - request.arrived_s
    service_s = min(pool.typical_latency_s, _MAX_SERVICE_SHARE * left_s)
    start_by_s = forwarding.preferred_start_by_s(request, pool)
    wait_s = _TOKEN_SHARE * (start_by_s - request.arrived_s)
    return wait_queue.QueuedRequest(
        request.priority,
        request.deadline_s - service_s,
        accepts_any_target=True,
        preferred_start_by_s=request.arrived_s + wait_s,
        fingerprint=request.fingerprint,
    )
