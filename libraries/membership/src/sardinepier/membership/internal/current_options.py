"""The options in force, which may change at any moment."""

from typing import Final

from sardinepier.core import clock
from sardinepier.membership import options

# Longer than the configuration takes to reach every daemon.
SPREAD_S: Final = 10.0


class CurrentOptions:
    """Shared by all parts, which read :attr:`current` whenever they need it.

    A part that kept a figure of its own would stay with the old one.
    """

    def __init__(
        self,
        bounds: options.MembershipOptions,
        time_source: clock.Clock,
    ) -> None:
        """Start with ``bounds``."""
        self.current = bounds
        self._clock = time_source
        self._former_timeout_s = bounds.suspicion_timeout_s
        self._former_until_s = time_source.monotonic_s()

    @property
    def suspicion_timeout_s(self) -> float:
        """How long one that is suspected now has to refute.

        A shorter time holds only once everybody should know of it: until
        then others still probe and pass news on at the former rate, and a
        refutation takes as long as it did.
        """
        timeout_s = self.current.suspicion_timeout_s
        if self._clock.monotonic_s() < self._former_until_s:
            return max(timeout_s, self._former_timeout_s)
        return timeout_s

    def change(self, bounds: options.MembershipOptions) -> None:
        """Put ``bounds`` in force."""
        shorter = bounds.suspicion_timeout_s < self.current.suspicion_timeout_s
        if shorter:
            self._former_timeout_s = self.suspicion_timeout_s
            self._former_until_s = self._clock.monotonic_s() + SPREAD_S
        self.current = bounds
