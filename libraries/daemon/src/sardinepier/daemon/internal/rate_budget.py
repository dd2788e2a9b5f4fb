"""A bound on the bytes or messages a second which reports may cost."""

from sardinepier.core import clock as clocks


class RateBudget:
    """A token bucket; what it counts is up to its user.

    Reports go out often while a target is suspected. Without a bound a
    daemon in the groups of many large services would exceed what control may
    cost; with it the reports only come a little later.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rate_per_s: float,
        burst: float,
    ) -> None:
        """Start with the whole burst at hand."""
        self._clock = clock
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._left = burst
        self._refilled_at_s = clock.monotonic_s()

    def has(self, amount: float) -> bool:
        """Tell whether ``amount`` may be spent now.

        More than the burst may be spent when the bucket is full, since it
        would never go out otherwise.
        """
        self._refill()
        return self._left >= min(amount, self._burst)

    def spend(self, amount: float) -> None:
        """Take ``amount`` out, below zero if it was too much."""
        self._left -= amount

    def _refill(self) -> None:
        now_s = self._clock.monotonic_s()
        earned = (now_s - self._refilled_at_s) * self._rate_per_s
        self._left = min(self._burst, self._left + earned)
        self._refilled_at_s = now_s
