"""What the attempts of one request came to, and whether another may follow.

A second attempt after one that may have run is for idempotent requests only,
within the route's number of attempts and the retry budget. One that is proved
not to have run may be followed for any request.
"""

import dataclasses
from typing import Final

from sardinepier.core import errors as core_errors
from sardinepier.core import ids
from sardinepier.entry import answers, final_failure, service_pool
from sardinepier.entry import caller_request
from sardinepier.gateway import errors

_MOST_NOT_RUN: Final = 4
"""Targets that may turn a request away or be out of reach before it is
refused: with a tenth of a service gone, all four are by bad luck in one case
of ten thousand."""

_MOST_LOST: Final = 2
"""Lost connections after which a request is taken for the cause."""


@dataclasses.dataclass(slots=True)
class AttemptHistory:
    """What the attempts of one request came to so far."""

    tried: set[ids.TargetId] = dataclasses.field(default_factory=set)
    not_run: int = 0
    ran: int = 0
    lost: int = 0
    failure: errors.UnknownFateError | None = None
    answer: answers.Answer | None = None

    def record_failure(self, error: errors.GatewayError) -> None:
        """Take in an attempt that brought no answer."""
        if isinstance(error, errors.UnknownFateError):
            self.failure = error
            self.ran += 1
            self.lost += isinstance(error, errors.ConnectionLostError)
        else:
            self.not_run += 1

    def nothing_ran(self) -> bool:
        """Tell whether no attempt ran, as far as is known."""
        return self.failure is None and self.answer is None

    def resolve(
        self,
        error: core_errors.SardinepierError,
        retry_after_s: float,
    ) -> answers.Answer:
        """Return a target's failing answer, or raise what the caller is told.

        ``retry_after_s`` is told where nothing ran for want of a target.
        """
        return final_failure.answer_or_raise(
            self.answer,
            self.failure,
            error,
            retry_after_s,
        )


def has_attempts_left(item: caller_request.CallerRequest, ran: int) -> bool:
    """Tell whether a request that may have run so often may run again."""
    return item.route.is_idempotent and ran < item.route.max_attempts


def could_retry(
    item: caller_request.CallerRequest,
    pool: service_pool.ServicePool,
    history: AttemptHistory,
) -> bool:
    """Tell whether an attempt that fails now may be followed by another."""
    if not has_attempts_left(item, history.ran + 1):
        return False
    return pool.retry_budget.can_spend()


def may_retry_after(
    item: caller_request.CallerRequest,
    pool: service_pool.ServicePool,
    history: AttemptHistory,
    error: errors.GatewayError,
) -> bool:
    """Decide on a further attempt after one without an answer."""
    if item.is_abandoned:
        return False
    if isinstance(error, errors.AnswerOverdueError):
        return False
    if isinstance(error, errors.NOTHING_ARRIVED):
        return history.not_run < _MOST_NOT_RUN
    if isinstance(error, errors.ProvedNotRunError):
        if history.not_run >= _MOST_NOT_RUN:
            return False
        return pool.retry_budget.try_spend()
    if history.lost >= _MOST_LOST:
        return False
    return may_retry(item, pool, history)


def may_retry(
    item: caller_request.CallerRequest,
    pool: service_pool.ServicePool,
    history: AttemptHistory,
) -> bool:
    """Decide whether a request that ran may run once more elsewhere."""
    if not has_attempts_left(item, history.ran):
        return False
    return pool.retry_budget.try_spend()
