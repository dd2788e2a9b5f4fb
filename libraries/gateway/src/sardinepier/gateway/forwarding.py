"""Selects the targets of a request and decides on retries.

An idempotent request may go to another target after a failure, within the
retry budget. A non-idempotent request may only if it is proved that nothing
ran. No target gets the same request twice.
"""

import dataclasses
from collections.abc import Collection
from typing import Final

from sardinepier.core import errors as core_errors
from sardinepier.core import ids
from sardinepier.gateway import context as contexts
from sardinepier.gateway import (
    attempt,
    caller_request,
    errors,
    hedged,
    refusals,
    service_runtime,
    target_answer,
)
from sardinepier.gateway import exit_check, unsent
from sardinepier.health import targets
from sardinepier.routing import admission

_MAX_ATTEMPTS: Final = 3
_MAX_LOST_CONNECTIONS: Final = 2
_FIRST_FAILURE_STATUS: Final = 500
_RETRYABLE: Final = (errors.ConnectionLostError, errors.BadAnswerError)


@dataclasses.dataclass(slots=True)
class _AttemptHistory:
    """The attempts of one request so far.

    ``tried`` are the targets that must not get the request. They include
    targets that it crashed in an earlier send, if other targets remain.
    """

    tried: set[ids.TargetId] = dataclasses.field(default_factory=set)
    attempts: int = 0
    lost_connections: int = 0
    failure: errors.UnknownFateError | None = None
    answer: target_answer.TargetAnswer | None = None


class Forwarding:
    """Forwards the requests of one daemon to targets."""

    def __init__(self, context: contexts.GatewayContext) -> None:
        """Use the collaborators in ``context``."""
        self._context = context

    async def forward(
        self, request: caller_request.CallerRequest
    ) -> target_answer.TargetAnswer:
        """Return a target's answer.

        Raises a subclass of ``UnknownFateError`` if an attempt may have run.
        Any other error proves that no attempt ran.
        """
        history = _AttemptHistory()
        request.runtime.retry_budget.record_request()
        request.runtime.hedge_budget.record_request()
        try:
            return await self._attempt_until_done(request, history)
        except errors.UnknownFateError:
            if history.answer is not None:
                return history.answer
            raise
        except core_errors.SardinepierError as error:
            if history.answer is not None:
                return history.answer
            if history.failure is None:
                raise
            raise errors.UnansweredError(
                history.failure.what,
                history.failure.remedy,
            ) from error

    async def _attempt_until_done(
        self,
        request: caller_request.CallerRequest,
        history: _AttemptHistory,
    ) -> target_answer.TargetAnswer:
        while True:
            target_id = await self._admit(request, history)
            history.attempts += 1
            history.tried.add(target_id)
            try:
                answer = await self._attempt(request, target_id, history)
            except errors.GatewayError as error:
                if not self._may_retry(request, history, error):
                    raise
                if isinstance(error, refusals.PausedError):
                    history.tried.discard(target_id)
                continue
            if not self._may_replace_answer(request, history, answer):
                return answer
            history.answer = answer

    async def _admit(
        self,
        request: caller_request.CallerRequest,
        history: _AttemptHistory,
    ) -> ids.TargetId:
        """Wait until an attempt may start, and reserve a slot for it."""
        if not self._context.wake_guard.check():
            await self._context.wake_guard.ready(request.deadline_s)
        request.require_time_left(self._context.clock)
        if not self._has_target(request, history.tried):
            raise _no_target(request)
        self._context.quarantine.admit(request.fingerprint)
        self._avoid_crashed(request, history)
        try:
            return await self._wait_for_slot(request, history)
        except BaseException:
            self._context.quarantine.released(request.fingerprint)
            raise

    def _avoid_crashed(
        self, request: caller_request.CallerRequest, history: _AttemptHistory
    ) -> None:
        """Exclude targets that the request crashed, if others remain.

        A second crash of the same target does harm and proves nothing new.
        """
        crashed_targets = self._context.quarantine.crashed_targets(
            request.fingerprint
        )
        if crashed_targets and self._has_target(
            request, history.tried | crashed_targets
        ):
            history.tried |= crashed_targets

    async def _wait_for_slot(
        self,
        request: caller_request.CallerRequest,
        history: _AttemptHistory,
    ) -> ids.TargetId:
        target_id = await request.runtime.queue.acquire(
            admission.QueuedRequest(
                request.route.priority,
                request.deadline_s,
                accepts_any_target=request.route.idempotent
                and not history.tried,
            ),
            lambda: self._reserve_or_give_up(request, history),
        )
        if target_id == service_runtime.NO_TARGET:
            raise _no_target(request)
        return target_id

    async def _attempt(
        self,
        request: caller_request.CallerRequest,
        target_id: ids.TargetId,
        history: _AttemptHistory,
    ) -> target_answer.TargetAnswer:
        first = attempt.Attempt(self._context, request, target_id)
        if not (request.route.idempotent and request.route.hedged):
            return await first.run()
        race = hedged.Race(
            self._context,
            request,
            lambda: self._reserve(request, history),
            history.tried,
        )
        return await race.run(first)

    def _reserve_or_give_up(
        self,
        request: caller_request.CallerRequest,
        history: _AttemptHistory,
    ) -> ids.TargetId | None:
        """Return ``NO_TARGET`` once no target can accept the request.

        Targets may leave while the request waits; it then fails at once.
        """
        exit_check.require_time_to_run(self._context, request)
        target_id = self._reserve(request, history)
        if target_id is None and not self._has_target(request, history.tried):
            return service_runtime.NO_TARGET
        return target_id

    def _reserve(
        self,
        request: caller_request.CallerRequest,
        history: _AttemptHistory,
    ) -> ids.TargetId | None:
        runtime = request.runtime
        while True:
            target_id = runtime.slots.reserve(
                runtime.chooser,
                history.tried | runtime.statements.not_accepting(),
            )
            if target_id is None:
                return None
            if self._is_usable(request, target_id):
                runtime.statements.take(target_id)
                return target_id
            runtime.slots.release(target_id)
            history.tried.add(target_id)

    def _is_usable(
        self, request: caller_request.CallerRequest, target_id: ids.TargetId
    ) -> bool:
        # Newer settings may have targets that this request's snapshot lacks.
        if target_id not in request.snapshot.targets:
            return False
        if request.route.idempotent:
            return True
        standing = request.runtime.health.standing(target_id)
        return standing.state is not targets.TargetState.TRIAL

    def _has_target(
        self,
        request: caller_request.CallerRequest,
        tried: Collection[ids.TargetId],
    ) -> bool:
        statements = request.runtime.statements
        return any(
            target_id not in tried
            and self._is_usable(request, target_id)
            and statements.accepts_from_s(target_id) < request.deadline_s
            for target_id in request.runtime.health.selectable()
        )

    def _may_retry(
        self,
        request: caller_request.CallerRequest,
        history: _AttemptHistory,
        error: errors.GatewayError,
    ) -> bool:
        """Return whether to retry after an attempt without an answer."""
        if isinstance(error, errors.UnknownFateError):
            history.failure = error
            history.lost_connections += isinstance(
                error, errors.ConnectionLostError
            )
        if isinstance(error, refusals.PausedError):
            # The request waits for the guard again, within its deadline.
            return history.attempts < _MAX_ATTEMPTS
        if not self._can_try_again(request, history):
            return False
        if isinstance(error, unsent.NOTHING_ARRIVED):
            # Only the number of attempts limits these retries.
            return True
        if isinstance(error, errors.ShedError):
            return request.runtime.retry_budget.try_spend()
        if (
            not request.route.idempotent
            or history.lost_connections >= _MAX_LOST_CONNECTIONS
        ):
            return False
        return (
            isinstance(error, _RETRYABLE)
            and request.runtime.retry_budget.try_spend()
        )

    def _can_try_again(
        self, request: caller_request.CallerRequest, history: _AttemptHistory
    ) -> bool:
        if history.attempts >= _MAX_ATTEMPTS:
            return False
        return self._has_target(request, history.tried)

    def _may_replace_answer(
        self,
        request: caller_request.CallerRequest,
        history: _AttemptHistory,
        answer: target_answer.TargetAnswer,
    ) -> bool:
        """Return whether to retry in place of a failed answer."""
        if (
            answer.status < _FIRST_FAILURE_STATUS
            or answer.remainder is not None
        ):
            return False
        if not request.route.idempotent or not self._can_try_again(
            request, history
        ):
            return False
        return request.runtime.retry_budget.try_spend()


def _no_target(request: caller_request.CallerRequest) -> refusals.NoTargetError:
    return refusals.NoTargetError(
        f'Service {request.snapshot.settings.name} has no target that can '
        'accept this request',
        'Send the request again after the stated time',
        request.runtime.statements.retry_after_s(
            request.runtime.health.selectable()
        ),
    )
