"""The requests in flight, the memory of their bodies, and draining."""

import contextlib
from collections.abc import Iterator
from typing import Final

from sardinepier.gateway import active_requests, refusals

BODY_MEMORY_BYTES: Final = 67_108_864
"""The memory limit for the bodies of all requests in flight."""

_MAX_IN_FLIGHT: Final = 4096
_RETRY_AFTER_S: Final = 1.0


class Activity(active_requests.ActiveRequests):
    """Counts requests in flight and the memory of their bodies.

    A keyed request counts twice while its caller waits: once for the caller
    and once for its task, which continues when the caller hangs up.

    While the daemon drains, every answer closes the caller's connection, and
    :meth:`wait_until_idle` returns once no request is in flight.
    """

    def __init__(self) -> None:
        """Start without requests in flight."""
        super().__init__()
        self.body_bytes = 0

    @contextlib.contextmanager
    def reserve_body_memory(self, size_bytes: int) -> Iterator[None]:
        """Reserve memory for a body while the context lasts.

        Raises ``OverloadedError`` when a limit is reached.
        """
        wanted_bytes = self.body_bytes + size_bytes
        if wanted_bytes > BODY_MEMORY_BYTES or self.in_flight > _MAX_IN_FLIGHT:
            raise refusals.OverloadedError(
                'This daemon has as many requests in flight as it can hold',
                'Send the request again, preferably to another address',
                _RETRY_AFTER_S,
            )
        self.body_bytes = wanted_bytes
        try:
            yield
        finally:
            self.body_bytes -= size_bytes
