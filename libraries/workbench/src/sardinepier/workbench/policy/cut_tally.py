"""Compares what callers get at daemons that are cut off from the targets."""

import dataclasses
from typing import Final

_MIN_SHARE: Final = 2 / 3
"""Share of first tries served at daemons that are cut off, relative to that at
the others."""

_MAX_FAILED: Final = 10
_MAX_FAILED_SHARE: Final = 0.02
"""Failed first tries at daemons that are cut off, of all first tries, up to
which the share does not count."""


@dataclasses.dataclass(slots=True)
class FirstTries:
    """First tries of callers, and how many were served."""

    sent: int = 0
    served: int = 0

    def add(self, *, is_served: bool) -> None:
        """Count one first try."""
        self.sent += 1
        self.served += is_served

    @property
    def share(self) -> float:
        """Return the share that was served."""
        return self.served / self.sent if self.sent else 1.0


class CutTally:
    """First tries during cuts, at the daemons cut off and at the others."""

    def __init__(self) -> None:
        """Start without requests."""
        self.at_cut_off = FirstTries()
        self.elsewhere = FirstTries()

    def are_too_few_served(self) -> bool:
        """Return whether callers of daemons that are cut off are worse off."""
        failed = self.at_cut_off.sent - self.at_cut_off.served
        sent = self.at_cut_off.sent + self.elsewhere.sent
        if failed <= _MAX_FAILED + _MAX_FAILED_SHARE * sent:
            return False
        return self.at_cut_off.share < _MIN_SHARE * self.elsewhere.share
