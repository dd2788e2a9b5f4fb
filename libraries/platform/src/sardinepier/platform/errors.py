"""How asking the platform can fail."""

from sardinepier.core import errors


class PlatformError(errors.SardinepierError):
    """The platform gave nothing that can be used."""


class PlatformUnavailableError(PlatformError):
    """No answer came: refused, cut off, too late, or failing inside."""


class PlatformBudgetError(PlatformUnavailableError):
    """The call was not made, because too many were made just before."""


class PlatformReplyError(PlatformError):
    """An answer came that is not what the interface promises."""


class PlatformFileMissingError(PlatformReplyError):
    """The platform has no such file, or has it no more."""
