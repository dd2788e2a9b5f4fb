"""A bound on how many lines of a sort are written, which says what it drops.

Log lines cost processor time, some forty microseconds each, and most come
when there is least of it. Each sort of line has a budget of its own, so that
lines about ordinary work never push out those about failures.
"""

from sardinepier.core import clock as clocks


class LineBudget:
    """Allows ``per_s`` lines a second on average, ``burst`` at once.

    For example::

        budget = LineBudget(clock, per_s=50, burst=100)
        if budget.allows():
            logs.write(...)
    """

    def __init__(
        self,
        clock: clocks.Clock,
        per_s: float,
        burst: int,
    ) -> None:
        """Start with the whole burst."""
        self._clock = clock
        self._per_s = per_s
        self._burst = burst
        self._left = float(burst)
        self._filled_s = clock.monotonic_s()
        self._dropped = 0

    def allows(self) -> bool:
        """Tell whether a line may be written, and count it either way."""
        now_s = self._clock.monotonic_s()
        grown = (now_s - self._filled_s) * self._per_s
        self._filled_s = now_s
        self._left = min(self._burst, self._left + grown)
        if self._left < 1:
            self._dropped += 1
            return False
        self._left -= 1
        return True

    def pop_dropped_count(self) -> int:
        """Return how many lines were dropped since the last call."""
        dropped = self._dropped
        self._dropped = 0
        return dropped
