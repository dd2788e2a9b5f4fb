"""The reasons not to run a non-idempotent request, one type for each."""

from sardinepier.core import errors


class OnceError(errors.SardinepierError):
    """Base class of all errors of this library."""


class BadKeyError(OnceError):
    """The key, or the ticket that it contains, is malformed.

    No home accepts such a key, so no request was run under it.
    """


class ForeignHomeError(OnceError):
    """The key's ticket names another instance as its home."""


class FutureTicketError(OnceError):
    """The ticket is from an epoch that its home has not reached.

    The home's clock is monotonic, so it can't have accepted the key earlier.
    """


class TicketExpiredError(OnceError):
    """The ticket has expired, and the home keeps no record of the key.

    The request may have run while the ticket was valid; its fate is unknown.
    """


class KeyConflictError(OnceError):
    """The key was used before with a different request."""


class LedgerFullError(OnceError):
    """The ledger has no free record, and none of its records has expired."""

    def __init__(self, what: str, remedy: str, retry_after_s: float) -> None:
        """Store the number of seconds until the next records expire."""
        super().__init__(what, remedy)
        self.retry_after_s = retry_after_s


class RecordDeadlineError(OnceError):
    """A resend reached its deadline while the first attempt was running."""

    retry_after_s = 1.0


class QuarantinedError(OnceError):
    """The request crashed several targets and is quarantined for a while."""

    def __init__(self, what: str, remedy: str, retry_after_s: float) -> None:
        """Store the number of seconds until the request may be tried again."""
        super().__init__(what, remedy)
        self.retry_after_s = retry_after_s
