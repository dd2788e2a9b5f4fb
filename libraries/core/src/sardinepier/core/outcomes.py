"""What a caller is told about the fate of its request."""

import enum


class Outcome(enum.Enum):
    """Value of the ``Sardinepier-Outcome`` header of every answer."""

    COMPLETED = 'completed'
    """A target ran the request and this is its answer."""

    NOT_RUN = 'not-run'
    """It is proved that no target ran the request."""

    UNKNOWN = 'unknown'
    """The request may or may not have run."""
