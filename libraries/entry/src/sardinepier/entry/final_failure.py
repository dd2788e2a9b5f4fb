"""The answer or error for a caller when no attempt had a good answer."""

from typing import Final

from sardinepier.core import errors as core_errors
from sardinepier.entry import answers, refusals
from sardinepier.gateway import errors
from sardinepier.once import errors as once_errors
from sardinepier.routing import errors as routing_errors

_REMEDY: Final = 'Check whether the request ran before sending it again'


def answer_or_raise(
    answer: answers.Answer | None,
    failure: errors.UnknownFateError | None,
    error: core_errors.SardinepierError,
    retry_after_s: float,
    *,
    may_have_run: bool,
) -> answers.Answer:
    """Return the failing answer of a target, or raise what is known.

    ``failure`` is the error of an earlier attempt that may have run, ``error``
    that of the last one. ``retry_after_s`` is when a new try makes sense. If the
    request ``may_have_run``, no error promises that it did not, whatever its type.
    """
    if answer is not None:
        return answer
    if isinstance(error, errors.AnswerOverdueError):
        raise refusals.OverdueError(error.what, error.remedy) from error
    if failure is None and isinstance(error, errors.UnknownFateError):
        failure = error
    if failure is not None:
        raise refusals.UnknownFateError(
            failure.what,
            failure.remedy,
        ) from error
    if may_have_run:
        raise refusals.UnprovedError(error.what, _REMEDY) from error
    raise _not_run(error, retry_after_s) from error


def _not_run(
    error: core_errors.SardinepierError,
    retry_after_s: float,
) -> refusals.NotRunError:
    if isinstance(error, refusals.NotRunError):
        return error
    if isinstance(error, routing_errors.RefusalError):
        return refusals.NoTargetError(
            error.what,
            error.remedy,
            error.retry_after_s,
        )
    if isinstance(error, once_errors.QuarantinedError):
        return refusals.HeldBackError(
            error.what,
            error.remedy,
            error.retry_after_s,
        )
    return refusals.NoTargetError(error.what, error.remedy, retry_after_s)
