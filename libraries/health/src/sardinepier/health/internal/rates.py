"""How many attempts a target gets from the whole group, on average."""

import math
from typing import Final

_MEMORY_S: Final = 60.0


class EventRate:
    """A rate of attempts per target and second that fades over a minute."""

    def __init__(self) -> None:
        """Start at zero."""
        self._attempts = 0.0
        self._updated_s: float | None = None
        self._started_s = 0.0
        self._targets = 1

    def add(self, attempts: int) -> None:
        """Count attempts, of this daemon or of a peer."""
        self._attempts += attempts

    def advance(self, targets: int, now_s: float) -> None:
        """Let the past fade; ``targets`` share the attempts."""
        self._targets = max(1, targets)
        if self._updated_s is None:
            self._started_s = now_s
            self._updated_s = now_s
        self._attempts *= math.exp(-(now_s - self._updated_s) / _MEMORY_S)
        self._updated_s = now_s

    def per_target_s(self) -> float:
        """Return the attempts per target and second."""
        if self._updated_s is None:
            return 0.0
        return self._attempts / _MEMORY_S / self._targets
