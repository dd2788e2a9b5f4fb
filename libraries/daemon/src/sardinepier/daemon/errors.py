"""What can go wrong while a daemon starts or runs."""

from sardinepier.core import errors


class DaemonError(errors.SardinepierError):
    """Base of the daemon's own failures."""


class HttpPortError(DaemonError):
    """The address for callers could not be bound."""
