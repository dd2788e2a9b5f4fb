"""The requests in flight, their limit, and draining."""

from typing import Final

from sardinepier.gateway import active_requests, refusals

_MAX_IN_FLIGHT: Final = 4096
_RETRY_AFTER_S: Final = 1.0


class Activity(active_requests.ActiveRequests):
    """Counts requests in flight, and limits them.

    A keyed request counts twice while its caller waits: once for the caller
    and once for its task, which continues when the caller hangs up.

    While the daemon drains, every answer closes the caller's connection, and
    :meth:`wait_until_idle` returns once no request is in flight.
    """

    def require_capacity(self) -> None:
        """Raise ``OverloadedError`` if too many requests are in flight."""
        if self.in_flight > _MAX_IN_FLIGHT:
            raise refusals.OverloadedError(
                'This daemon has as many requests in flight as it can hold',
                'Send the request again, preferably to another address',
                _RETRY_AFTER_S,
            )
