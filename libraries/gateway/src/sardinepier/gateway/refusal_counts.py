"""Sums of refusals, recorded periodically as events of the timeline."""

import asyncio
import collections
from collections.abc import Callable
from typing import Final

from sardinepier.telemetry import daemon_events, events

_WINDOW_S: Final = 10.0
_MAX_KINDS: Final = 256


class RefusalCounts:
    """Counts refusals by service and reason, up to a number of pairs."""

    def __init__(self, record_event: Callable[[events.Event], object]) -> None:
        """Record the sums with ``record_event``."""
        self._record_event = record_event
        self._counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def record(self, service: str, reason: str) -> None:
        """Count one refusal."""
        key = (service, reason)
        if key in self._counts or len(self._counts) < _MAX_KINDS:
            self._counts[key] += 1

    def flush(self, window_s: float) -> None:
        """Record one event for each pair counted in the last ``window_s``."""
        counts = self._counts
        self._counts = collections.Counter()
        for (service, reason), count in counts.items():
            self._record_event(
                daemon_events.RequestRefused(service, reason, count, window_s),
            )

    async def run(self) -> None:
        """Record the sums every ten seconds until cancelled."""
        while True:
            await asyncio.sleep(_WINDOW_S)
            self.flush(_WINDOW_S)
