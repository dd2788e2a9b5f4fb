"""Rate limits for log lines, with a count of the dropped lines.

A log line costs some forty microseconds of CPU time, and most lines are
written under overload. Each category of lines has its own budget, so that
lines about ordinary requests never displace those about failures.
"""

from sardinepier.core import clock as clocks


class LineBudget:
    """A token bucket: ``per_s`` lines a second, in bursts of up to ``burst``.

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
        """Start with a full bucket."""
        self._clock = clock
        self._per_s = per_s
        self._burst = burst
        self._tokens = float(burst)
        self._refilled_at_s = clock.monotonic_s()
        self._dropped = 0

    def allows(self) -> bool:
        """Return whether a line may be written, and count it if not."""
        now_s = self._clock.monotonic_s()
        refill = (now_s - self._refilled_at_s) * self._per_s
        self._refilled_at_s = now_s
        self._tokens = min(self._burst, self._tokens + refill)
        if self._tokens < 1:
            self._dropped += 1
            return False
        self._tokens -= 1
        return True

    def pop_dropped_count(self) -> int:
        """Return how many lines were dropped since the last call."""
        dropped = self._dropped
        self._dropped = 0
        return dropped
