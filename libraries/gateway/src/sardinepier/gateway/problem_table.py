"""The table of problem responses by type of error.

This is the only place that maps an error to ``not-run`` or ``unknown``. A type
that is not in the table counts as ``unknown``.
"""

import dataclasses
import http
from typing import Final

from sardinepier.core import errors as core_errors
from sardinepier.core import outcomes
from sardinepier.gateway import errors, refusals, unsent
from sardinepier.once import errors as once_errors
from sardinepier.routing import errors as routing_errors


@dataclasses.dataclass(frozen=True, slots=True)
class ProblemKind:
    """Status, outcome, name and title of the errors of one type."""

    status: http.HTTPStatus
    outcome: outcomes.Outcome
    name: str
    title: str


_Kind = ProblemKind
_Kinds = dict[type[core_errors.SardinepierError], ProblemKind]
_Status = http.HTTPStatus

_NOT_RUN: Final = outcomes.Outcome.NOT_RUN
_UNKNOWN: Final = outcomes.Outcome.UNKNOWN
_COMPLETED: Final = outcomes.Outcome.COMPLETED

_INVALID_REQUESTS: Final[_Kinds] = {
    refusals.BadRequestError: _Kind(
        _Status.BAD_REQUEST,
        _NOT_RUN,
        'bad-request',
        'The request is not valid',
    ),
    refusals.UnknownServiceError: _Kind(
        _Status.NOT_FOUND,
        _NOT_RUN,
        'unknown-service',
        'There is no such service',
    ),
    refusals.UnknownRouteError: _Kind(
        _Status.NOT_FOUND,
        _NOT_RUN,
        'unknown-route',
        'There is no such route',
    ),
    refusals.MethodNotAllowedError: _Kind(
        _Status.METHOD_NOT_ALLOWED,
        _NOT_RUN,
        'method-not-allowed',
        'The route has other methods',
    ),
    refusals.HeaderTooLargeError: _Kind(
        _Status.REQUEST_HEADER_FIELDS_TOO_LARGE,
        _NOT_RUN,
        'header-too-large',
        'The headers are too large',
    ),
    refusals.BodyTooLargeError: _Kind(
        _Status.REQUEST_ENTITY_TOO_LARGE,
        _NOT_RUN,
        'body-too-large',
        'The body is too large',
    ),
    refusals.BodyIncompleteError: _Kind(
        _Status.REQUEST_TIMEOUT,
        _NOT_RUN,
        'body-incomplete',
        'The body did not arrive whole',
    ),
    refusals.KeyRequiredError: _Kind(
        _Status.PRECONDITION_REQUIRED,
        _NOT_RUN,
        'key-required',
        'The route needs an Idempotency-Key',
    ),
    once_errors.BadKeyError: _Kind(
        _Status.BAD_REQUEST,
        _NOT_RUN,
        'bad-key',
        'The Idempotency-Key is not valid',
    ),
    once_errors.FutureTicketError: _Kind(
        _Status.BAD_REQUEST,
        _NOT_RUN,
        'future-ticket',
        'The ticket is not valid yet',
    ),
    once_errors.KeyConflictError: _Kind(
        _Status.UNPROCESSABLE_ENTITY,
        _NOT_RUN,
        'key-conflict',
        'The key belongs to another request',
    ),
    routing_errors.CallerLimitError: _Kind(
        _Status.TOO_MANY_REQUESTS,
        _NOT_RUN,
        'caller-limit',
        'The caller sends too many requests',
    ),
}

_TEMPORARY_REFUSALS: Final[_Kinds] = {
    refusals.NotConfiguredError: _Kind(
        _Status.SERVICE_UNAVAILABLE,
        _NOT_RUN,
        'not-configured',
        'No settings are in force yet',
    ),
    refusals.PausedError: _Kind(
        _Status.SERVICE_UNAVAILABLE,
        _NOT_RUN,
        'paused',
        'The daemon was paused',
    ),
    refusals.DeadlinePassedError: _Kind(
        _Status.GATEWAY_TIMEOUT,
        _NOT_RUN,
        'deadline-passed',
        'The time ran out before the request was sent',
    ),
    refusals.OverloadedError: _Kind(
        _Status.SERVICE_UNAVAILABLE,
        _NOT_RUN,
        'overloaded',
        'The daemon has too much in hand',
    ),
    refusals.ExitingError: _Kind(
        _Status.SERVICE_UNAVAILABLE,
        _NOT_RUN,
        'exiting',
        'The daemon is about to exit',
    ),
    refusals.ReleasedError: _Kind(
        _Status.SERVICE_UNAVAILABLE,
        _NOT_RUN,
        'released',
        'The earlier send did not run',
    ),
    refusals.NoTargetError: _Kind(
        _Status.SERVICE_UNAVAILABLE,
        _NOT_RUN,
        'no-target',
        'No target can take the request',
    ),
    once_errors.LedgerFullError: _Kind(
        _Status.SERVICE_UNAVAILABLE,
        _NOT_RUN,
        'records-full',
        'No further request can be recorded',
    ),
    once_errors.QuarantinedError: _Kind(
        _Status.SERVICE_UNAVAILABLE,
        _NOT_RUN,
        'quarantined',
        'The request is held back',
    ),
    routing_errors.QueueFullError: _Kind(
        _Status.SERVICE_UNAVAILABLE,
        _NOT_RUN,
        'queue-full',
        'Too many requests wait for this service',
    ),
    routing_errors.QueueDeadlineError: _Kind(
        _Status.SERVICE_UNAVAILABLE,
        _NOT_RUN,
        'queue-too-long',
        'No target will be free in time',
    ),
    errors.ConnectFailedError: _Kind(
        _Status.BAD_GATEWAY,
        _NOT_RUN,
        'connect-failed',
        'No target could be reached',
    ),
    unsent.NoDescriptorError: _Kind(
        _Status.SERVICE_UNAVAILABLE,
        _NOT_RUN,
        'no-descriptor',
        'The daemon has too many connections',
    ),
    errors.TargetLeftError: _Kind(
        _Status.SERVICE_UNAVAILABLE,
        _NOT_RUN,
        'target-left',
        'The target has just left',
    ),
    errors.ShedError: _Kind(
        _Status.SERVICE_UNAVAILABLE,
        _NOT_RUN,
        'shed',
        'The targets have too much work',
    ),
}

_UNKNOWN_FATE: Final[_Kinds] = {
    once_errors.TicketExpiredError: _Kind(
        _Status.GONE,
        _UNKNOWN,
        'ticket-expired',
        'The ticket has run out',
    ),
    once_errors.ForeignHomeError: _Kind(
        _Status.MISDIRECTED_REQUEST,
        _UNKNOWN,
        'foreign-home',
        'Another daemon is the home of the key',
    ),
    errors.HomeUnreachableError: _Kind(
        _Status.BAD_GATEWAY,
        _UNKNOWN,
        'home-unreachable',
        'The home of the key cannot be reached',
    ),
    once_errors.RecordDeadlineError: _Kind(
        _Status.GATEWAY_TIMEOUT,
        _UNKNOWN,
        'still-running',
        'The request is still running',
    ),
    errors.RecordedUnknownError: _Kind(
        _Status.BAD_GATEWAY,
        _UNKNOWN,
        'recorded-unknown',
        'The request ended unanswered before',
    ),
    errors.ConnectionLostError: _Kind(
        _Status.BAD_GATEWAY,
        _UNKNOWN,
        'connection-lost',
        'The target ended the connection',
    ),
    errors.BadAnswerError: _Kind(
        _Status.BAD_GATEWAY,
        _UNKNOWN,
        'bad-answer',
        'The answer of the target is not whole',
    ),
    errors.AnswerOverdueError: _Kind(
        _Status.GATEWAY_TIMEOUT,
        _UNKNOWN,
        'answer-overdue',
        'The target did not answer in time',
    ),
    refusals.CutOffByExitError: _Kind(
        _Status.BAD_GATEWAY,
        _UNKNOWN,
        'cut-off-by-exit',
        'The daemon exits while it has the request',
    ),
    errors.UnansweredError: _Kind(
        _Status.BAD_GATEWAY,
        _UNKNOWN,
        'unanswered',
        'No target gave an answer',
    ),
}

_COMPLETED_KINDS: Final[_Kinds] = {
    errors.AnswerNotKeptError: _Kind(
        _Status.CONFLICT,
        _COMPLETED,
        'answer-not-kept',
        'The request ran, its answer was not kept',
    ),
}

KINDS: Final[_Kinds] = {
    **_INVALID_REQUESTS,
    **_TEMPORARY_REFUSALS,
    **_UNKNOWN_FATE,
    **_COMPLETED_KINDS,
}

INTERNAL: Final = ProblemKind(
    _Status.INTERNAL_SERVER_ERROR,
    _UNKNOWN,
    'internal',
    'The daemon failed',
)


def kind_of(error: BaseException) -> ProblemKind:
    """Return the problem kind for the type of ``error``."""
    for ancestor in type(error).__mro__:
        kind = KINDS.get(ancestor)
        if kind is not None:
            return kind
    return INTERNAL
