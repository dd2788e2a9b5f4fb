"""The load that a target reports, which lags behind its actual load."""

from typing import Final

from sardinepier.core import clock

_MS_PER_S: Final = 1000.0


class LaggingLoad:
    """A reported load that is refreshed at most every ``lag_ms``."""

    def __init__(self, time_source: clock.Clock, lag_ms: float) -> None:
        """Start at a load of 0."""
        self._clock = time_source
        self._lag_s = lag_ms / _MS_PER_S
        self._refresh_at_s = time_source.monotonic_s() + self._lag_s
        self._published = 0

    def read(self, current: int) -> int:
        """Return the published load; publish ``current`` if a refresh is due."""
        published = self._published
        now_s = self._clock.monotonic_s()
        if now_s >= self._refresh_at_s:
            self._published = current
            self._refresh_at_s = now_s + self._lag_s
        return published
