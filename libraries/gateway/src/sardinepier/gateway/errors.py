"""Why a request gets no answer of a target, each reason with its own type.

What a caller is told for each type stands in one table, in ``problems``. The
types under :class:`ProvedNotRunError` are raised only while nothing of the
request was written to a target, or when the target itself says that it did
not run it.
"""

from typing import Final

from sardinepier.core import errors


class GatewayError(errors.SardinepierError):
    """Root of the failures of the request path."""


class ProvedNotRunError(GatewayError):
    """Nothing ran. ``retry_after_s`` says when to come back, if it helps."""

    def __init__(
        self,
        what: str,
        remedy: str,
        retry_after_s: float | None = None,
    ) -> None:
        """Keep in how many seconds a retry makes sense, None if never."""
        super().__init__(what, remedy)
        self.retry_after_s = retry_after_s


class ConnectFailedError(ProvedNotRunError):
    """No connection to the target came about, so nothing was sent."""


class ConnectTimeoutError(ConnectFailedError):
    """The target said nothing, not even that nobody listens there.

    It may be gone, or only the way to it.
    """


class TargetLeftError(ProvedNotRunError):
    """The target began to leave after it was chosen; nothing was sent."""


class TargetRestsError(ProvedNotRunError):
    """The target asked for rest after it was chosen; nothing was sent."""


NOTHING_ARRIVED: Final = (
    ConnectFailedError,
    TargetLeftError,
    TargetRestsError,
)
"""What costs no target anything: going past one needs no budget."""


class StaleConnectionError(ProvedNotRunError):
    """A pooled connection was closed or spoken on before it was used."""


class ShedError(ProvedNotRunError):
    """The target refused by the reply that the service's file names."""


class UnknownFateError(GatewayError):
    """The request may have run. Nothing is said about when to retry."""


class ConnectionLostError(UnknownFateError):
    """The connection ended without an answer after something was sent."""


class BadAnswerError(UnknownFateError):
    """The target's answer breaks HTTP, so it can't be passed on."""


class TruncatedAnswerError(BadAnswerError):
    """The target's answer ended before it was whole."""


class AnswerOverdueError(UnknownFateError):
    """The time ran out while the target had the request."""


class UnansweredError(UnknownFateError):
    """An earlier attempt may have run, and no further one is possible."""


class RecordedUnknownError(UnknownFateError):
    """An earlier send of this key ended without anybody knowing how."""


class HomeUnreachableError(UnknownFateError):
    """The home of the key is gone or can't be reached from here."""


class InternalError(UnknownFateError):
    """A fault of this program."""


class AnswerNotKeptError(GatewayError):
    """The request ran, but its answer was too large to keep for resends."""
