"""Why a non-idempotent request is not run, each reason with its own type."""

from sardinepier.core import errors


class OnceError(errors.SardinepierError):
    """Root of the failures of this library."""


class BadKeyError(OnceError):
    """The key or the ticket within it is not in the stated form.

    No home has ever accepted such a key, so nothing was run under it.
    """


class ForeignHomeError(OnceError):
    """The key's ticket names another instance as its home."""


class FutureTicketError(OnceError):
    """The ticket is from an epoch that its home has not reached.

    The home's clock never goes back, so it accepted no such key before.
    """


class TicketExpiredError(OnceError):
    """The ticket has run out and the home keeps no record of the key.

    The key may have run while its ticket was valid, so its fate is unknown.
    """


class KeyConflictError(OnceError):
    """The key was used before with a different request."""


class LedgerFullError(OnceError):
    """All records are taken, and none of them may be given up yet."""

    def __init__(self, what: str, remedy: str, retry_after_s: float) -> None:
        """Keep how many seconds from now the next records expire."""
        super().__init__(what, remedy)
        self.retry_after_s = retry_after_s


class RecordDeadlineError(OnceError):
    """A resend waited for the running attempt until its own deadline."""

    retry_after_s = 1.0


class QuarantinedError(OnceError):
    """The request crashed several targets and is held back for a while."""

    def __init__(self, what: str, remedy: str, retry_after_s: float) -> None:
        """Keep in how many seconds the request may be tried again."""
        super().__init__(what, remedy)
        self.retry_after_s = retry_after_s
