"""The rate limits for all reports of a daemon together."""

from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.daemon.internal import rate_budget

_BYTES_PER_S: Final = 12_000
_BURST_BYTES: Final = 96_000
_MESSAGES_PER_S: Final = 16
_BURST_MESSAGES: Final = 192


class ReportBudget:
    """Limits bytes and messages a second; both limits must allow a report.

    The processor time of a message hardly depends on its size, so a limit on
    bytes alone would let many small reports take too much of it.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        """Start with both bursts available."""
        self.spent_bytes = 0
        self._bytes = rate_budget.RateBudget(clock, _BYTES_PER_S, _BURST_BYTES)
        self._messages = rate_budget.RateBudget(
            clock,
            _MESSAGES_PER_S,
            _BURST_MESSAGES,
        )

    def can_spend(self, size_bytes: int, messages: int) -> bool:
        """Return whether so many messages of that size may be sent now."""
        if not self._bytes.can_spend(size_bytes * messages):
            return False
        return self._messages.can_spend(messages)

    def spend(self, size_bytes: int, messages: int) -> None:
        """Record that so many messages of that size are sent."""
        self._bytes.spend(size_bytes * messages)
        self._messages.spend(messages)
        self.spent_bytes += size_bytes * messages
