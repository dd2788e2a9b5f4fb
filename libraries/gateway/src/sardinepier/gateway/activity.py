"""What this daemon has in hand, and whether it is on its way out."""

import contextlib
from collections.abc import Iterator
from typing import Final

from sardinepier.gateway import active_requests, refusals

BODY_MEMORY_BYTES: Final = 67_108_864
"""How much memory all bodies in hand may take."""

_MOST_IN_HAND: Final = 4096
_RETRY_AFTER_S: Final = 1.0


class Activity(active_requests.ActiveRequests):
    """Counts work in hand, and the memory that bodies take.

    A keyed request counts twice while its caller waits: once for the caller
    and once for the work, which goes on when the caller hangs up.

    Once draining, every answer tells its caller to close the connection, and
    :meth:`idle` returns when nothing is in hand any more.
    """

    def __init__(self) -> None:
        """Start with nothing in hand."""
        super().__init__()
        self.body_bytes = 0

    @contextlib.contextmanager
    def reserve_body_memory(self, size_bytes: int) -> Iterator[None]:
        """Set memory aside for a body while the context lasts.

        Raises ``OverloadedError`` when too much is in hand already.
        """
        wanted_bytes = self.body_bytes + size_bytes
        if wanted_bytes > BODY_MEMORY_BYTES or self.in_flight > _MOST_IN_HAND:
            raise refusals.OverloadedError(
                'This daemon has as many requests in hand as it can hold',
                'Send the request again, best to another address',
                _RETRY_AFTER_S,
            )
        self.body_bytes = wanted_bytes
        try:
            yield
        finally:
            self.body_bytes -= size_bytes
