"""Errors of requests that get no answer from a target.

The module ``problem_table`` maps each type to what the caller gets. Subclasses
of :class:`ProvedNotRunError` are raised only while nothing of the request was
written to a target, or when the target itself states that it did not run it.
"""

from sardinepier.core import errors


class GatewayError(errors.SardinepierError):
    """Base class of the errors of the request path."""


class ProvedNotRunError(GatewayError):
    """The request did not run; ``retry_after_s`` says when to retry."""

    def __init__(
        self,
        what: str,
        remedy: str,
        retry_after_s: float | None = None,
    ) -> None:
        """Set after how many seconds a retry makes sense, None for never."""
        super().__init__(what, remedy)
        self.retry_after_s = retry_after_s


class ConnectFailedError(ProvedNotRunError):
    """The connection to the target failed, so nothing was sent."""


class ConnectTimeoutError(ConnectFailedError):
    """The connection attempt timed out, without even a refusal.

    Either the target is down or the network path to it is broken.
    """


class ConnectRefusedError(ConnectFailedError):
    """Nothing listens at the target's address.

    Its process has ended, or takes no further connections.
    """


class TargetLeftError(ProvedNotRunError):
    """The target began to leave after its selection; nothing was sent."""


class TargetRestsError(ProvedNotRunError):
    """The target asked for backoff after its selection; nothing was sent."""


class StaleConnectionError(ProvedNotRunError):
    """The target closed a pooled connection, or sent on it, before its reuse."""


class ShedError(ProvedNotRunError):
    """The target refused with the shed reply that the service configures."""


class UnknownFateError(GatewayError):
    """The request may have run, so no time for a retry is given."""


class ConnectionLostError(UnknownFateError):
    """The connection ended without an answer after something was sent."""


class TargetGoneError(ConnectionLostError):
    """The target disappeared without closing the connection.

    It may still be running behind a cut link. The request did not cause it: a
    process that crashes closes its connections.
    """


class BadAnswerError(UnknownFateError):
    """The target's answer is not valid HTTP and can't be forwarded."""


class TruncatedAnswerError(BadAnswerError):
    """The target's answer ended before it was complete."""


class AnswerOverdueError(UnknownFateError):
    """The deadline passed while the target had the request."""


class UnansweredError(UnknownFateError):
    """An earlier attempt may have run, and no further one is possible."""


class RecordedUnknownError(UnknownFateError):
    """An earlier send of this key ended with an unknown outcome."""


class HomeUnreachableError(UnknownFateError):
    """The home of the key is gone or can't be reached from this daemon."""


class InternalError(UnknownFateError):
    """An unexpected exception in this program."""


class AnswerNotKeptError(GatewayError):
    """The request ran, but its answer was too large to keep for resends."""
