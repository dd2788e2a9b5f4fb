"""When a comparison last found no newer files elsewhere."""

from typing import Final

from sardinepier.core import clock as clocks

_NEVER_S: Final = float('-inf')


class Confirmations:
    """Records the start of the latest comparison that found nothing newer.

    The time of the request counts, not that of the answer: after a pause of
    the process the network delivers messages that arrived long before, which
    say nothing about the present.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        """Start without a comparison."""
        self._clock = clock
        self._confirmed_s = _NEVER_S

    def now_s(self) -> float:
        """Return the time of a request, to pass to ``confirm`` later."""
        return self._clock.monotonic_s()

    def confirm(self, requested_s: float) -> None:
        """Record that the request sent at ``requested_s`` found nothing newer."""
        self._confirmed_s = max(self._confirmed_s, requested_s)

    def is_confirmed_since(self, moment_s: float) -> bool:
        """Return whether such a comparison started after ``moment_s``."""
        return self._confirmed_s > moment_s
