"""How often, and where, one request is attempted.

An idempotent request may go to another target after a failure, within the
retry budget. A non-idempotent one may only when it is proved that nothing
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
from sardinepier.health import targets
from sardinepier.routing import admission

_MOST_ATTEMPTS: Final = 3
_MOST_LOST: Final = 2
_FIRST_FAILURE_STATUS: Final = 500
_WORTH_RETRYING: Final = (errors.ConnectionLostError, errors.BadAnswerError)


@dataclasses.dataclass(slots=True)
class _History:
    """What the attempts of one request came to so far.

    ``tried`` are the targets that shall not get it any more. Those on which
    an earlier send was lost are among them while there are others.
    """

    tried: set[ids.TargetId] = dataclasses.field(default_factory=set)
    attempts: int = 0
    lost: int = 0
    failure: errors.UnknownFateError | None = None
    answer: target_answer.TargetAnswer | None = None


class Forwarding:
    """Sends the requests of one daemon to targets."""

    def __init__(self, context: contexts.GatewayContext) -> None:
        """Work with the daemon's collaborators."""
        self._context = context

    async def forward(
        self, item: caller_request.CallerRequest
    ) -> target_answer.TargetAnswer:
        """Return a target's answer.

        Raises a subclass of ``UnknownFateError`` when any attempt may have
        run. All other errors are proof that none did.
        """
        history = _History()
        item.runtime.retry_budget.record_request()
        item.runtime.hedge_budget.record_request()
        try:
            return await self._attempts(item, history)
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

    async def _attempts(
        self,
        item: caller_request.CallerRequest,
        history: _History,
    ) -> target_answer.TargetAnswer:
        while True:
            target_id = await self._admit(item, history)
            history.attempts += 1
            history.tried.add(target_id)
            try:
                answer = await self._attempt(item, target_id, history)
            except errors.GatewayError as error:
                if not self._may_go_on(item, history, error):
                    raise
                if isinstance(error, refusals.PausedError):
                    history.tried.discard(target_id)
                continue
            if not self._may_improve(item, history, answer):
                return answer
            history.answer = answer

    async def _admit(
        self,
        item: caller_request.CallerRequest,
        history: _History,
    ) -> ids.TargetId:
        """Wait until an attempt may start, and reserve a slot for it."""
        if not self._context.wake_guard.check():
            await self._context.wake_guard.ready(item.deadline_s)
        item.require_time_left(self._context.clock)
        if not self._has_target(item, history.tried):
            raise _no_target(item)
        self._context.quarantine.admit(item.fingerprint)
        self._avoid_crashed(item, history)
        try:
            return await self._wait_for_slot(item, history)
        except BaseException:
            self._context.quarantine.released(item.fingerprint)
            raise

    def _avoid_crashed(
        self, item: caller_request.CallerRequest, history: _History
    ) -> None:
        """Keep the request off targets that it crashed, if others are left.

        Crashing a target twice takes it down twice and tells nothing new.
        """
        crashed_targets = self._context.quarantine.crashed_targets(
            item.fingerprint
        )
        if crashed_targets and self._has_target(
            item, history.tried | crashed_targets
        ):
            history.tried |= crashed_targets

    async def _wait_for_slot(
        self,
        item: caller_request.CallerRequest,
        history: _History,
    ) -> ids.TargetId:
        target_id = await item.runtime.queue.acquire(
            admission.QueuedRequest(
                item.route.priority,
                item.deadline_s,
                accepts_any_target=item.route.idempotent and not history.tried,
            ),
            lambda: self._reserve_or_give_up(item, history),
        )
        if target_id == service_runtime.NO_TARGET:
            raise _no_target(item)
        return target_id

    async def _attempt(
        self,
        item: caller_request.CallerRequest,
        target_id: ids.TargetId,
        history: _History,
    ) -> target_answer.TargetAnswer:
        first = attempt.Attempt(self._context, item, target_id)
        if not (item.route.idempotent and item.route.hedged):
            return await first.run()
        race = hedged.Race(
            self._context,
            item,
            lambda: self._reserve(item, history),
            history.tried,
        )
        return await race.run(first)

    def _reserve_or_give_up(
        self,
        item: caller_request.CallerRequest,
        history: _History,
    ) -> ids.TargetId | None:
        """Return ``NO_TARGET`` once no target can take the request any more.

        Targets may go while the request waits: it is then told at once.
        """
        target_id = self._reserve(item, history)
        if target_id is None and not self._has_target(item, history.tried):
            return service_runtime.NO_TARGET
        return target_id

    def _reserve(
        self,
        item: caller_request.CallerRequest,
        history: _History,
    ) -> ids.TargetId | None:
        runtime = item.runtime
        while True:
            target_id = runtime.slots.reserve(
                runtime.chooser,
                history.tried | runtime.statements.not_accepting(),
            )
            if target_id is None:
                return None
            if self._suits(item, target_id):
                runtime.statements.take(target_id)
                return target_id
            runtime.slots.release(target_id)
            history.tried.add(target_id)

    def _suits(
        self, item: caller_request.CallerRequest, target_id: ids.TargetId
    ) -> bool:
        # A newer file may have targets that the request's own has not.
        if target_id not in item.snapshot.targets:
            return False
        if item.route.idempotent:
            return True
        standing = item.runtime.health.standing(target_id)
        return standing.state is not targets.TargetState.TRIAL

    def _has_target(
        self,
        item: caller_request.CallerRequest,
        tried: Collection[ids.TargetId],
    ) -> bool:
        stated = item.runtime.statements
        return any(
            target_id not in tried
            and self._suits(item, target_id)
            and stated.accepts_from_s(target_id) < item.deadline_s
            for target_id in item.runtime.health.selectable()
        )

    def _may_go_on(
        self,
        item: caller_request.CallerRequest,
        history: _History,
        error: errors.GatewayError,
    ) -> bool:
        """Decide on a further attempt after one without an answer."""
        if isinstance(error, errors.UnknownFateError):
            history.failure = error
            history.lost += isinstance(error, errors.ConnectionLostError)
        if isinstance(error, refusals.PausedError):
            # It waits for the guard again, within its deadline.
            return history.attempts < _MOST_ATTEMPTS
        if not self._has_room(item, history):
            return False
        if isinstance(error, errors.NOTHING_ARRIVED):
            # The number of attempts bounds it.
            return True
        if isinstance(error, errors.ShedError):
            return item.runtime.retry_budget.try_spend()
        if not item.route.idempotent or history.lost >= _MOST_LOST:
            return False
        return (
            isinstance(error, _WORTH_RETRYING)
            and item.runtime.retry_budget.try_spend()
        )

    def _has_room(
        self, item: caller_request.CallerRequest, history: _History
    ) -> bool:
        if history.attempts >= _MOST_ATTEMPTS:
            return False
        return self._has_target(item, history.tried)

    def _may_improve(
        self,
        item: caller_request.CallerRequest,
        history: _History,
        answer: target_answer.TargetAnswer,
    ) -> bool:
        """Decide whether another target may give a better answer."""
        if (
            answer.status < _FIRST_FAILURE_STATUS
            or answer.remainder is not None
        ):
            return False
        if not item.route.idempotent or not self._has_room(item, history):
            return False
        return item.runtime.retry_budget.try_spend()


def _no_target(item: caller_request.CallerRequest) -> refusals.NoTargetError:
    return refusals.NoTargetError(
        f'Service {item.snapshot.settings.name} has no target that may take '
        'this request',
        'Send it again after the stated time',
        item.runtime.statements.retry_after_s(item.runtime.health.selectable()),
    )
