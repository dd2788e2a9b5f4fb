"""What all reports of a daemon together may cost."""

from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.daemon.internal import rate_budget

_BYTES_PER_S: Final = 12_000
_BURST_BYTES: Final = 96_000
_MESSAGES_PER_S: Final = 16
_BURST_MESSAGES: Final = 192


class ReportBudget:
    """Bounds bytes and messages a second; the tighter of both decides.

    A message costs about as much processor time whatever its size, so a bound
    on bytes alone would let many small reports cost too much.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        """Start with a full burst of both."""
        self.spent_bytes = 0
        self._bytes = rate_budget.RateBudget(clock, _BYTES_PER_S, _BURST_BYTES)
        self._messages = rate_budget.RateBudget(
            clock,
            _MESSAGES_PER_S,
            _BURST_MESSAGES,
        )

    def has(self, size_bytes: int, messages: int) -> bool:
        """Tell whether so many messages of that size may go out now."""
        if not self._bytes.has(size_bytes * messages):
            return False
        return self._messages.has(messages)

    def spend(self, size_bytes: int, messages: int) -> None:
        """Note that so many messages of that size go out."""
        self._bytes.spend(size_bytes * messages)
        self._messages.spend(messages)
        self.spent_bytes += size_bytes * messages
