"""Rate limit for table exchanges that do not wait for the next tick.

With one exchange per second, each of a part of the table, a daemon of a large
fleet would need ten seconds to know all members. Until then it would consider
itself the only daemon of its zone.
"""

from typing import Final

from sardinepier.core import clock
from sardinepier.membership.internal import budget, current_options

_BURST_S: Final = 1.0


class CatchUp:
    """Limits the rate of table exchanges that start between ticks."""

    def __init__(
        self,
        active_options: current_options.CurrentOptions,
        time_source: clock.Clock,
    ) -> None:
        """Start with no exchange done."""
        self._options = active_options
        self._bucket = budget.LeakyBucket(_BURST_S, time_source)
        self._has_started = False

    def may_start(self) -> bool:
        """Return whether to start the first exchange now, without a tick."""
        if self._has_started:
            return False
        self._has_started = self.may_continue()
        return self._has_started

    def may_continue(self) -> bool:
        """Return whether another exchange may follow one with new entries."""
        per_s = self._options.current.rounds_per_s
        return self._bucket.take(1, per_s) > 0
