"""Attempts of which nothing arrived at a target."""

from typing import Final

from sardinepier.gateway import errors


class NoDescriptorError(errors.ProvedNotRunError):
    """This process could not open a socket, which says nothing of the target."""


NOTHING_ARRIVED: Final = (
    NoDescriptorError,
    errors.ConnectFailedError,
    errors.TargetLeftError,
    errors.TargetRestsError,
)
"""Errors without load on a target: the next attempt needs no retry budget."""
