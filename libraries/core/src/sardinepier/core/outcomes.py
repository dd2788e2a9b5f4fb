"""Outcomes of requests, as reported to callers."""

import enum


class Outcome(enum.Enum):
    """Value of the ``Sardinepier-Outcome`` header of every answer."""

    COMPLETED = 'completed'
    """A target ran the request and this is its answer."""

    NOT_RUN = 'not-run'
    """It is certain that no target ran the request."""

    UNKNOWN = 'unknown'
    """The request may or may not have run."""
