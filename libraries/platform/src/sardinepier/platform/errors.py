"""Exceptions raised by platform clients."""

from sardinepier.core import errors


class PlatformError(errors.SardinepierError):
    """Base of all failures of a call to the platform."""


class PlatformUnavailableError(PlatformError):
    """No answer: refused, disconnected, timed out, or an error status."""


class PlatformBudgetError(PlatformUnavailableError):
    """The call was not made, because the rate limit was reached."""


class PlatformReplyError(PlatformError):
    """The answer does not conform to the interface."""


class PlatformFileMissingError(PlatformReplyError):
    """The file does not exist on the platform, or was deleted."""
