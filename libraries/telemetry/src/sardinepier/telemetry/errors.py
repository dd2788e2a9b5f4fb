"""Failures of the telemetry library."""

from sardinepier.core import errors


class TelemetryError(errors.SardinepierError):
    """Root of the telemetry library's failures."""


class BadStampError(TelemetryError):
    """A text is not a stamp of the hybrid logical clock."""


class BadHistogramError(TelemetryError):
    """An encoded histogram could not be read."""


class UnknownLevelError(TelemetryError):
    """A log level has no such name."""
