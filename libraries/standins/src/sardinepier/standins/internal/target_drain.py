"""Draining of a target, which announces it first and refuses requests later."""

from typing import Final

from sardinepier.core import clock

_MS_PER_S: Final = 1000.0


class Drain:
    """Whether a target drains, and whether it already refuses requests."""

    def __init__(self, time_source: clock.Clock, drain_ms: float) -> None:
        """Start without draining."""
        self._clock = time_source
        self._drain_s = drain_ms / _MS_PER_S
        self._refuse_at_s: float | None = None

    @property
    def started(self) -> bool:
        """Whether answers carry the draining header."""
        return self._refuse_at_s is not None

    @property
    def refuses(self) -> bool:
        """Whether new requests are refused."""
        if self._refuse_at_s is None:
            return False
        return self._clock.monotonic_s() >= self._refuse_at_s

    def start(self) -> None:
        """Start to drain; further calls have no effect."""
        if self._refuse_at_s is None:
            self._refuse_at_s = self._clock.monotonic_s() + self._drain_s
