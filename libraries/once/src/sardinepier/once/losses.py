"""What a connection lost without an answer shows about its request."""

import dataclasses
import enum


class LossVerdict(enum.Enum):
    """Whether a loss counts against the request, and why not."""

    TARGET_SUSPECTED = 'target_suspected'
    """The target failed otherwise, too, so that the loss is no mark."""

    ANSWERED_BEFORE = 'answered_before'
    """The request recently got a good answer, so that the loss is no mark."""

    MARKED = 'marked'
    """The loss is a mark, and there are too few for a quarantine."""

    OUTAGE = 'outage'
    """The loss is a mark, and other lost targets prevent a quarantine."""

    QUARANTINED = 'quarantined'
    """The loss is a mark, and the request is quarantined."""


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """One loss of a request, as the quarantine takes it.

    ``marked_targets`` counts the targets with a mark of the request, including
    this one. ``other_losses`` counts the other targets of the service that were
    lost since its last good answer and that no request accounts for.
    """

    verdict: LossVerdict
    marked_targets: int = 0
    other_losses: int = 0

    @property
    def is_quarantined(self) -> bool:
        """Return whether the request is now quarantined."""
        return self.verdict is LossVerdict.QUARANTINED
