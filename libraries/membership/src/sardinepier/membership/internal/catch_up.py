"""When exchanges of tables follow each other without waiting for a tick.

To wait would take a daemon of a large fleet ten seconds to know it, a part of the
table each second, while it takes itself for the only one of its zone.
"""

from typing import Final

from sardinepier.core import clock
from sardinepier.membership.internal import budget, current_options

_BURST_S: Final = 1.0


class CatchUp:
    """Bounds the exchanges that follow each other at once."""

    def __init__(
        self,
        bounds: current_options.CurrentOptions,
        time_source: clock.Clock,
    ) -> None:
        """Start before the first exchange."""
        self._bounds = bounds
        self._allowance = budget.Allowance(_BURST_S, time_source)
        self._has_begun = False

    def may_begin(self) -> bool:
        """Tell whether to ask the first that answers, at once."""
        if self._has_begun:
            return False
        self._has_begun = self.may_go_on()
        return self._has_begun

    def may_go_on(self) -> bool:
        """Tell whether to ask another one, since there was something new."""
        per_s = self._bounds.current.rounds_per_s
        return self._allowance.take(1, per_s) > 0
