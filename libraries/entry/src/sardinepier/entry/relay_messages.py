"""What two daemons tell each other about a relayed request.

Each direction is one typed message in a header beside the HTTP request or
response, so that bodies pass unchanged.
"""

import base64
import enum
from typing import Final, TypeVar

import msgspec

from sardinepier.core import decoding, ids
from sardinepier.core import errors as core_errors
from sardinepier.entry import model, refusals
from sardinepier.gateway import errors

_RETRY_AFTER_S: Final = 0.2
_Kind = TypeVar('_Kind', bound=msgspec.Struct)


class RelayedAttempt(msgspec.Struct, frozen=True, array_like=True):
    """One attempt that the receiver makes for the sender of a request.

    ``route`` is the one by which the sender serves the request; its shares play
    no part, as the sender has chosen ``service``. ``elapsed_ms`` have passed
    since the request arrived; its caller waits for ``caller_left_ms`` and the
    attempt may take ``left_ms``. Targets in ``tried`` had the request already.
    """

    sender: ids.InstanceId
    service: ids.ServiceName
    route: model.Route
    priority: int
    elapsed_ms: int
    caller_left_ms: int
    left_ms: int
    tried: tuple[ids.TargetId, ...]
    is_final_attempt: bool


class RelayOutcome(enum.Enum):
    """How a relayed attempt ended."""

    ANSWERED = 'answered'
    """A target answered, with any status."""

    CUT_OFF = 'cut_off'
    """The receiver reaches no target either. Nothing ran."""

    REFUSED = 'refused'
    """The receiver refused the request. Nothing ran."""

    SHED = 'shed'
    """A target refused the request. Nothing ran."""

    LOST = 'lost'
    """A target ended the connection without an answer."""

    GONE = 'gone'
    """A target disappeared without closing the connection."""

    OVERDUE = 'overdue'
    """The deadline passed while a target had the request."""

    BAD_ANSWER = 'bad_answer'
    """A target's answer can't be forwarded."""


NOT_RUN: Final = frozenset(
    (RelayOutcome.CUT_OFF, RelayOutcome.REFUSED, RelayOutcome.SHED)
)
"""Outcomes that promise that nothing ran."""


class RelayReply(msgspec.Struct, frozen=True, array_like=True):
    """How a relayed attempt ended, and which targets it tried."""

    outcome: RelayOutcome
    tried: tuple[ids.TargetId, ...] = ()
    what: str = ''
    remedy: str = ''
    retry_after_s: float = _RETRY_AFTER_S


class CutOffError(errors.ProvedNotRunError):
    """The daemon that was to make the attempt reaches no target."""


def cut_off_error() -> CutOffError:
    """Return the error of a daemon that reaches no target of a service."""
    return CutOffError(
        'This daemon reaches no target of the service',
        'Let another daemon make the attempt',
    )


class RelayRefusedError(refusals.NotRunError):
    """The daemon that was to make the attempt refused it."""


class MessageError(core_errors.SardinepierError):
    """A header holds no message of the expected kind."""


_ErrorTypes = dict[RelayOutcome, type[errors.UnknownFateError]]

_ERRORS: Final[_ErrorTypes] = {
    # A subclass comes before its base class.
    RelayOutcome.GONE: errors.TargetGoneError,
    RelayOutcome.LOST: errors.ConnectionLostError,
    RelayOutcome.OVERDUE: errors.AnswerOverdueError,
    RelayOutcome.BAD_ANSWER: errors.BadAnswerError,
}


def encode(message: msgspec.Struct) -> str:
    """Return a message as the text of a header."""
    return base64.b64encode(msgspec.msgpack.encode(message)).decode()


def decode_attempt(text: str) -> RelayedAttempt:
    """Return the attempt of a header; raise ``MessageError``."""
    return _decode(text, RelayedAttempt)


def decode_reply(text: str) -> RelayReply:
    """Return the reply of a header; raise ``MessageError``."""
    return _decode(text, RelayReply)


def reply_of(
    error: core_errors.SardinepierError,
    tried: tuple[ids.TargetId, ...],
    *,
    may_have_run: bool = False,
) -> RelayReply:
    """Return the reply for an attempt that ended with ``error``.

    If it ``may_have_run``, the reply makes no promise.
    """
    retry_after_s = getattr(error, 'retry_after_s', None)
    outcome = _outcome_of(error)
    if may_have_run and outcome in NOT_RUN:
        outcome = RelayOutcome.BAD_ANSWER
    return RelayReply(
        outcome,
        tried,
        error.what,
        error.remedy,
        _RETRY_AFTER_S if retry_after_s is None else retry_after_s,
    )


def raise_error(reply: RelayReply) -> None:
    """Raise the error of a reply, unless a target answered."""
    if reply.outcome is RelayOutcome.ANSWERED:
        return
    if reply.outcome is RelayOutcome.CUT_OFF:
        raise CutOffError(reply.what, reply.remedy, reply.retry_after_s)
    if reply.outcome is RelayOutcome.SHED:
        raise errors.ShedError(reply.what, reply.remedy, reply.retry_after_s)
    if reply.outcome is RelayOutcome.REFUSED:
        raise RelayRefusedError(reply.what, reply.remedy, reply.retry_after_s)
    raise _ERRORS[reply.outcome](reply.what, reply.remedy)


def _outcome_of(error: core_errors.SardinepierError) -> RelayOutcome:
    if isinstance(error, CutOffError):
        return RelayOutcome.CUT_OFF
    if isinstance(error, errors.ShedError):
        return RelayOutcome.SHED
    for outcome, kind in _ERRORS.items():
        if isinstance(error, kind):
            return outcome
    if isinstance(error, (errors.UnknownFateError, refusals.UnknownFateError)):
        return RelayOutcome.BAD_ANSWER
    return RelayOutcome.REFUSED


def _decode(text: str, kind: type[_Kind]) -> _Kind:
    try:
        return msgspec.msgpack.decode(
            base64.b64decode(text, validate=True), type=kind
        )
    except decoding.FAILURES as error:
        raise MessageError(
            f'The header holds no {kind.__name__}: {error}',
            'Use daemons of versions that fit each other',
        ) from error
