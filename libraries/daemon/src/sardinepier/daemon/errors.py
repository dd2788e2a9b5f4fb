"""Errors of a daemon's start and operation."""

from sardinepier.core import errors


class DaemonError(errors.SardinepierError):
    """Base class of the daemon's own errors."""


class HttpPortError(DaemonError):
    """The address for callers could not be bound."""
