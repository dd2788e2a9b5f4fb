"""The outcomes of the attempts of one request, and whether it may be retried.

After an attempt that may have run only an idempotent request is retried, within
the route's number of attempts. After one that is proved not to have run any
request may be retried. A retry then needs an attempt of the retry budget,
unless nothing arrived at a target.
"""

import dataclasses
from typing import Final

from sardinepier.core import errors as core_errors
from sardinepier.core import ids
from sardinepier.entry import (
    answers,
    caller_request,
    final_failure,
    relay_messages,
    service_pool,
)
from sardinepier.gateway import errors, unsent
from sardinepier.routing import fleet_budget

_MAX_NOT_RUN: Final = 4
"""Targets that may refuse a request or be unreachable before the request is
refused: with a tenth of the targets gone, four random ones are all gone in one
case of ten thousand."""

_MAX_SHEDS: Final = 8
"""Targets that may shed a request before it is refused. While targets shed 55 %
of what they get, one request in 11 is shed by four in a row, and one in 120 by
eight. Without a limit, a request that every target sheds would use up the
budget of all others."""

_MAX_LOST_CONNECTIONS: Final = 2
"""Lost connections after which the request is assumed to be the cause."""


_FINAL_ERRORS: Final = (
    errors.AnswerOverdueError,
    relay_messages.CutOffError,
)
"""Errors after which no further attempt could succeed."""


@dataclasses.dataclass(slots=True)
class AttemptHistory:
    """The outcomes of the attempts of one request so far.

    ``not_run`` counts attempts that are proved not to have run, without those
    that a target shed, which ``sheds`` counts. ``ran`` counts those that may
    have run. ``failure`` is the newest error with an unknown fate, ``answer``
    the newest failing answer of a target. ``spending`` is the budget that was
    spent for an attempt that has not begun, None without one. ``is_final_attempt``
    says that another daemon, which the attempt is made for, makes no other.
    """

    tried: set[ids.TargetId] = dataclasses.field(default_factory=set)
    not_run: int = 0
    sheds: int = 0
    spending: fleet_budget.Spending | None = None
    ran: int = 0
    lost_connections: int = 0
    failure: errors.UnknownFateError | None = None
    answer: answers.Answer | None = None
    is_final_attempt: bool = False

    def record_failure(self, error: errors.GatewayError) -> None:
        """Record an attempt that ended without an answer."""
        if isinstance(error, errors.UnknownFateError):
            self.failure = error
            self.ran += 1
            self.lost_connections += isinstance(
                error, errors.ConnectionLostError
            )
        elif isinstance(error, errors.ShedError):
            self.sheds += 1
        else:
            self.not_run += 1

    def nothing_ran(self) -> bool:
        """Return whether no attempt is known to have run."""
        return self.failure is None and self.answer is None

    def resolve(
        self,
        request: caller_request.CallerRequest,
        error: core_errors.SardinepierError,
        retry_after_s: float,
    ) -> answers.Answer:
        """Return a target's failing answer, or raise the caller's error.

        ``retry_after_s`` is for an error that says that no target was
        available.
        """
        return final_failure.answer_or_raise(
            self.answer,
            self.failure,
            error,
            retry_after_s,
            may_have_run=request.unproved > 0,
        )


def has_attempts_left(request: caller_request.CallerRequest, ran: int) -> bool:
    """Return whether a request that ran ``ran`` times at most may run again."""
    return request.route.is_idempotent and ran < request.route.max_attempts


def could_retry(
    request: caller_request.CallerRequest,
    pool: service_pool.ServicePool,
    history: AttemptHistory,
) -> bool:
    """Return whether a retry could follow if the next attempt fails.

    This spends nothing of the retry budget.
    """
    if history.is_final_attempt:
        return False
    if not has_attempts_left(request, history.ran + 1):
        return False
    return pool.retries.queue.can_spend(request.priority)


def may_send_again(request: caller_request.CallerRequest) -> bool:
    """Return whether ``request`` may run twice, or is proved not to have run."""
    return request.route.is_idempotent or not request.unproved


def may_retry_after(
    request: caller_request.CallerRequest,
    history: AttemptHistory,
    error: errors.GatewayError,
) -> bool:
    """Return whether a retry may follow ``error``, if there is budget."""
    if request.is_abandoned:
        return False
    if not may_send_again(request):
        return False
    if isinstance(error, _FINAL_ERRORS):
        return False
    if isinstance(error, errors.ShedError):
        return history.sheds < _MAX_SHEDS
    if isinstance(error, errors.ProvedNotRunError):
        return history.not_run < _MAX_NOT_RUN
    if history.lost_connections >= _MAX_LOST_CONNECTIONS:
        return False
    return has_attempts_left(request, history.ran)


def needs_budget(error: errors.GatewayError) -> bool:
    """Return whether a retry after ``error`` needs retry budget."""
    return not isinstance(error, unsent.NOTHING_ARRIVED)
