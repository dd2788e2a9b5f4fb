"""Exceptions of the telemetry library."""

from sardinepier.core import errors


class TelemetryError(errors.SardinepierError):
    """Base of all exceptions of the telemetry library."""


class BadStampError(TelemetryError):
    """A text is not a valid stamp of the hybrid logical clock."""


class BadHistogramError(TelemetryError):
    """An encoded histogram cannot be decoded."""


class UnknownLevelError(TelemetryError):
    """There is no log level of the given name."""
