"""How far this daemon doubts itself rather than its peers."""

from typing import Final

MAX_DEGRADATION: Final = 3


class LocalHealth:
    """A small number that grows while most peers seem to be away.

    When most peers stop answering at once, the likeliest cause is here: a
    paused process, a full queue, a cut link of this machine. The number is
    how many more heartbeats a peer may miss before it is suspected. It is
    bounded, since half of the fleet may truly be away.
    """

    def __init__(self) -> None:
        """Start without doubt."""
        self.level = 0

    def paused(self) -> None:
        """Doubt as much as possible: this process has just woken."""
        self.level = MAX_DEGRADATION

    def observe(self, answered: int, missed: int) -> None:
        """Weigh the heartbeats of one interval."""
        if missed > answered:
            self.level = min(self.level + 1, MAX_DEGRADATION)
        elif answered:
            self.level = max(self.level - 1, 0)
