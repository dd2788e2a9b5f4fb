"""The current options, which may change at any time."""

from typing import Final

from sardinepier.core import clock
from sardinepier.membership import options

# Upper bound on the time that a configuration takes to reach every daemon.
PROPAGATION_S: Final = 10.0


class CurrentOptions:
    """Holds the options for all components of one membership.

    Components read :attr:`current` at each use and do not copy values from it,
    because a copy would miss later changes.
    """

    def __init__(
        self,
        membership_options: options.MembershipOptions,
        time_source: clock.Clock,
    ) -> None:
        """Start with ``membership_options`` and no change in progress."""
        self.current = membership_options
        self._clock = time_source
        self._previous_timeout_s = membership_options.suspicion_timeout_s
        self._previous_until_s = time_source.monotonic_s()

    @property
    def suspicion_timeout_s(self) -> float:
        """How long a member that is suspected now may refute.

        A shorter timeout takes effect only when every daemon should know it.
        Until then other daemons still probe and gossip at the previous rate,
        so a refutation may need the previous timeout.
        """
        timeout_s = self.current.suspicion_timeout_s
        if self._clock.monotonic_s() < self._previous_until_s:
            return max(timeout_s, self._previous_timeout_s)
        return timeout_s

    def change(self, membership_options: options.MembershipOptions) -> None:
        """Replace the current options by ``membership_options``."""
        shorter = (
            membership_options.suspicion_timeout_s
            < self.current.suspicion_timeout_s
        )
        if shorter:
            self._previous_timeout_s = self.suspicion_timeout_s
            self._previous_until_s = self._clock.monotonic_s() + PROPAGATION_S
        self.current = membership_options
