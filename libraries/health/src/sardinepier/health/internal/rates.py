"""The average rate of attempts that a target gets from the whole group."""

import math
from typing import Final

_TIME_CONSTANT_S: Final = 60.0


class EventRate:
    """Attempts per target and second, decaying exponentially over a minute."""

    def __init__(self) -> None:
        """Start at zero."""
        self._attempts = 0.0
        self._updated_s: float | None = None
        self._started_s = 0.0
        self._target_count = 1

    def add(self, attempts: int) -> None:
        """Count attempts of this daemon or of a peer."""
        self._attempts += attempts

    def advance(self, target_count: int, now_s: float) -> None:
        """Decay the count; ``target_count`` targets share the attempts."""
        self._target_count = max(1, target_count)
        if self._updated_s is None:
            self._started_s = now_s
            self._updated_s = now_s
        self._attempts *= math.exp(
            -(now_s - self._updated_s) / _TIME_CONSTANT_S
        )
        self._updated_s = now_s

    def per_target_s(self) -> float:
        """Return the attempts per target and second."""
        if self._updated_s is None:
            return 0.0
        return self._attempts / _TIME_CONSTANT_S / self._target_count
