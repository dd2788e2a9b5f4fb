"""When attempts are relayed, and how they draw on the retry budget."""

from sardinepier.core import ids
from sardinepier.entry import (
    answers,
    caller_request,
    connectivity,
    racing,
    refusals,
    relay_messages,
    relaying,
)
from sardinepier.entry import retries, service_pool


class RelayedAttempts:
    """Attempts that peers make while this daemon is cut off from a service."""

    def __init__(
        self,
        paths: connectivity.Connectivity,
        relay: relaying.Relaying | None,
    ) -> None:
        """Relay by ``relay``, or nothing without it."""
        self._paths = paths
        self._relay = relay

    def are_due(self, service: ids.ServiceName) -> bool:
        """Return whether attempts for a service are relayed now."""
        return self._paths.is_cut_off(service) and self._has_peers()

    def are_due_for(self, request: caller_request.CallerRequest) -> bool:
        """Return whether attempts for a request are relayed now.

        After a connection failed for it, a doubtful path is enough.
        """
        if request.unreached and self._paths.is_doubtful(request.service):
            return self._has_peers()
        return self.are_due(request.service)

    def require_not_due(self, service: ids.ServiceName) -> None:
        """Raise ``CutOffError`` if attempts are relayed now."""
        if self.are_due(service):
            raise relay_messages.cut_off_error()

    def require_path(self, service: ids.ServiceName) -> None:
        """Raise ``CutOffError`` if this daemon is cut off from a service."""
        if self._paths.is_cut_off(service):
            raise relay_messages.cut_off_error()

    async def run(
        self,
        request: caller_request.CallerRequest,
        pool: service_pool.ServicePool,
        history: retries.AttemptHistory,
    ) -> answers.Answer:
        """Let a peer make an attempt, and refund it if the peer refuses."""
        spending = history.spending
        history.spending = None
        is_made = True
        try:
            return await self._attempt(request, pool, history)
        except (refusals.NotRunError, relay_messages.CutOffError):
            is_made = False
            raise
        finally:
            if spending is not None and is_made:
                # The peer may have waited for a slot until now.
                pool.retries.queue.renew(spending)
            elif spending is not None:
                pool.retries.queue.refund(spending)

    def hedge(
        self,
        request: caller_request.CallerRequest,
        pool: service_pool.ServicePool,
        history: retries.AttemptHistory,
    ) -> racing.Run | None:
        """Return a hedge by a peer, None without budget for it."""
        if not pool.retries.queue.try_spend_for_hedge():
            return None
        history.ran += 1
        return self._attempt(request, pool, history)

    def _has_peers(self) -> bool:
        return self._relay is not None and self._relay.knows_peers()

    def _attempt(
        self,
        request: caller_request.CallerRequest,
        pool: service_pool.ServicePool,
        history: retries.AttemptHistory,
    ) -> racing.Run:
        assert self._relay is not None  # noqa: S101 - the callers checked it
        return self._relay.attempt(
            request,
            history,
            is_final=not retries.could_retry(request, pool, history),
        )
