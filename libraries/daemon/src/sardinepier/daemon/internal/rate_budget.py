"""A rate limit for the reports that a daemon sends."""

from sardinepier.core import clock as clocks


class RateBudget:
    """A token bucket, whose tokens stand for bytes or for messages.

    Reports are sent often while a target is suspected. Without a limit a
    daemon in the groups of many large services would use more resources for
    control traffic than allowed; the limit only delays the reports a little.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rate_per_s: float,
        burst: float,
    ) -> None:
        """Start with a full bucket."""
        self._clock = clock
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._available = burst
        self._refilled_at_s = clock.monotonic_s()

    def can_spend(self, amount: float) -> bool:
        """Return whether ``amount`` may be spent now.

        A full bucket allows more than the burst: a message larger than the
        burst could never be sent otherwise.
        """
        self._refill()
        return self._available >= min(amount, self._burst)

    def spend(self, amount: float) -> None:
        """Take ``amount`` from the bucket, which may become negative."""
        self._available -= amount

    def _refill(self) -> None:
        now_s = self._clock.monotonic_s()
        earned = (now_s - self._refilled_at_s) * self._rate_per_s
        self._available = min(self._burst, self._available + earned)
        self._refilled_at_s = now_s
