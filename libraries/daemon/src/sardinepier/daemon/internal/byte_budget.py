"""A bound on the bytes a second which one kind of message may cost."""

from sardinepier.core import clock as clocks


class ByteBudget:
    """A token bucket in bytes.

    Reports go out often while a target is suspected. Without a bound a
    daemon in the groups of many large services would exceed what control may
    cost; with it the reports only come a little later.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rate_bytes_per_s: float,
        burst_bytes: float,
    ) -> None:
        """Start with the whole burst at hand."""
        self._clock = clock
        self._rate_bytes_per_s = rate_bytes_per_s
        self._burst_bytes = burst_bytes
        self._left_bytes = burst_bytes
        self._refilled_at_s = clock.monotonic_s()

    def has(self, size_bytes: float) -> bool:
        """Tell whether ``size_bytes`` may be spent now.

        More than the burst may be spent when the bucket is full, since it
        would never go out otherwise.
        """
        self._refill()
        return self._left_bytes >= min(size_bytes, self._burst_bytes)

    def spend(self, size_bytes: float) -> None:
        """Take ``size_bytes`` out, below zero if they were too many."""
        self._left_bytes -= size_bytes

    def _refill(self) -> None:
        now_s = self._clock.monotonic_s()
        earned = (now_s - self._refilled_at_s) * self._rate_bytes_per_s
        self._left_bytes = min(self._burst_bytes, self._left_bytes + earned)
        self._refilled_at_s = now_s
