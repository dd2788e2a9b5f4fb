"""How likely this daemon itself is the cause of missed heartbeats."""

from typing import Final

MAX_DEGRADATION: Final = 3


class LocalHealth:
    """The number of extra misses to tolerate while this daemon is degraded.

    When most peers stop answering at once, the cause is probably local: a
    paused process, a full queue, or a cut link of this machine.
    ``extra_misses`` is how many more heartbeats a peer may miss before it is
    suspected. It is bounded, since half of the fleet may actually have failed.
    """

    def __init__(self) -> None:
        """Start as healthy."""
        self.extra_misses = 0

    def mark_paused(self) -> None:
        """Set the maximum: this process has just resumed after a pause."""
        self.extra_misses = MAX_DEGRADATION

    def record_interval(self, answered: int, missed: int) -> None:
        """Update ``extra_misses`` from the heartbeats of one interval."""
        if missed > answered:
            self.extra_misses = min(self.extra_misses + 1, MAX_DEGRADATION)
        elif answered:
            self.extra_misses = max(self.extra_misses - 1, 0)
