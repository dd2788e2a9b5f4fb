"""Whether this daemon's files were compared with another's since a moment."""

from typing import Final

from sardinepier.core import clock as clocks

_NEVER_S: Final = float('-inf')


class Confirmations:
    """Remembers when the last comparison that brought nothing new began.

    What counts is when the question was sent, not when an answer came. After
    a pause the network hands over what it received long before, and such a
    message says nothing about now.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        """Begin with no comparison."""
        self._clock = clock
        self._asked_s = _NEVER_S

    def now_s(self) -> float:
        """Return the reading to pass to ``confirm`` with the answer."""
        return self._clock.monotonic_s()

    def confirm(self, asked_s: float) -> None:
        """Note that what was asked at ``asked_s`` found nothing newer."""
        self._asked_s = max(self._asked_s, asked_s)

    def is_since(self, moment_s: float) -> bool:
        """Tell whether a comparison began after ``moment_s``."""
        return self._asked_s > moment_s
