"""Forwards one request to targets, with retries and a hedge.

An idempotent request may be retried at another target after a failure, within
the retry budget and the route's number of attempts. A non-idempotent one may be
retried only if it is proved that nothing ran. No target gets the same request
twice. While this daemon can't connect to the targets of a service, attempts are
relayed to daemons that can.
"""

import contextlib
import functools
from collections.abc import Callable
from typing import Final

from sardinepier.core import errors as core_errors
from sardinepier.core import ids
from sardinepier.entry import (
    answers,
    attempt,
    context,
    racing,
    relayed_attempts,
    retries,
    service_pool,
    target_record,
)
from sardinepier.entry import caller_request as caller_requests
from sardinepier.entry import attempt_requirements, relay_messages, relaying
from sardinepier.entry import exit_check, retry_waits
from sardinepier.gateway import errors, unsent
from sardinepier.routing import admission, retry_queue

_WAIT_SHARE: Final = 0.3
"""Share of a route's target latency for which a request waits for the best
target. The remainder is enough for the processing itself."""

_SUSPECTED_PROBABILITY: Final = 0.5
"""Probability that the target is failing above which a lost connection is not
attributed to the request, unless a suspect request accounts for the target's
failures."""


class Forwarding:
    """Sends the requests of one daemon to targets."""

    def __init__(
        self,
        shared: context.EntryContext,
        relay: relaying.Relaying | None = None,
    ) -> None:
        """Use the daemon's shared objects; relay requests by ``relay``."""
        self._shared = shared
        self._relayed = relayed_attempts.RelayedAttempts(
            shared.services.connectivity, relay
        )

    async def forward(
        self, request: caller_requests.CallerRequest
    ) -> answers.Answer:
        """Return the answer of a target.

        Raises ``NotRunError`` only if it is proved that nothing ran, else
        ``UnknownFateError`` of :mod:`sardinepier.entry.refusals`.
        """
        pool = self._shared.services.pool(request.service)
        pool.retry_budget.record_request()
        history = retries.AttemptHistory()
        try:
            return await self._attempts(request, pool, history)
        except core_errors.SardinepierError as error:
            if history.nothing_ran():
                pool.refused()
            return history.resolve(request, error, pool.retry_after_s())

    async def attempt_once(
        self,
        request: caller_requests.CallerRequest,
        history: retries.AttemptHistory,
    ) -> answers.Answer:
        """Make one attempt for another daemon, which retries it if need be.

        Other targets are tried as long as nothing arrived at one. Raises
        ``CutOffError`` if this daemon seems to reach no target, and the errors
        of attempts and refusals.
        """
        pool = self._shared.services.pool(request.service)
        while True:
            self._relayed.require_path(request.service)
            record = await self._admit(
                request, pool, history, self._relayed.require_path
            )
            history.tried.add(record.listed.target_id)
            try:
                return await self._attempt(request, pool, record)
            except unsent.NOTHING_ARRIVED as error:
                history.record_failure(error)
                if self._shared.services.connectivity.is_doubtful(
                    request.service
                ):
                    raise relay_messages.cut_off_error() from error
                if not retries.may_retry_after(request, history, error):
                    raise

    async def _attempts(
        self,
        request: caller_requests.CallerRequest,
        pool: service_pool.ServicePool,
        history: retries.AttemptHistory,
    ) -> answers.Answer:
        while True:
            run = await self._begin(request, pool, history)
            try:
                answer = await self._run(run, request, pool, history)
            except errors.GatewayError as error:
                await self._prepare_retry(request, pool, history, error)
                continue
            history.ran += 1
            if answer.is_good or not retries.has_attempts_left(
                request, history.ran
            ):
                return answer
            history.answer = answer
            await self._wait_for_budget(request, pool, history)

    async def _begin(
        self,
        request: caller_requests.CallerRequest,
        pool: service_pool.ServicePool,
        history: retries.AttemptHistory,
    ) -> racing.Run:
        """Return the next attempt, by a peer or at the target that was chosen.

        A relayed attempt waits for a slot at the peer, also if the path is lost
        while the request waits for one here.
        """
        while not self._relayed.are_due_for(request):
            with contextlib.suppress(relay_messages.CutOffError):
                record = await self._admit_with_budget(request, pool, history)
                history.tried.add(record.listed.target_id)
                return self._attempt(request, pool, record)
        while not self._renew_budget(pool, history):
            await self._wait_for_budget(request, pool, history)
        return self._relayed.run(request, pool, history)

    async def _prepare_retry(
        self,
        request: caller_requests.CallerRequest,
        pool: service_pool.ServicePool,
        history: retries.AttemptHistory,
        error: errors.GatewayError,
    ) -> None:
        """Return when a retry may begin; else raise ``error`` or a refusal."""
        history.record_failure(error)
        if not retries.may_retry_after(request, history, error):
            raise error
        if retries.needs_budget(error):
            await self._wait_for_budget(request, pool, history)

    async def _wait_for_budget(
        self,
        request: caller_requests.CallerRequest,
        pool: service_pool.ServicePool,
        history: retries.AttemptHistory,
    ) -> None:
        """Wait until a retry has budget; raise a refusal if it gets none."""
        history.spending = await retry_waits.acquire(
            self._shared,
            request,
            pool,
            retry_queue.RetryRequest(
                request.priority,
                request.deadline_s,
                preferred_start_by_s(request, pool),
                can_wait=pool.has_other_target(history.tried),
                is_given_up=lambda: request.is_abandoned,
            ),
        )

    async def _admit_with_budget(
        self,
        request: caller_requests.CallerRequest,
        pool: service_pool.ServicePool,
        history: retries.AttemptHistory,
    ) -> target_record.TargetRecord:
        """Wait for a slot, and for new budget if a retry's has expired.

        Raises ``CutOffError`` if the attempt is to be relayed; what was spent
        for it stays spent.
        """
        while True:
            record = await self._admit_or_refund(request, pool, history)
            if self._renew_budget(pool, history):
                history.spending = None
                return record
            pool.release(record)
            self._shared.quarantine.released(request.fingerprint)
            await self._wait_for_budget(request, pool, history)

    def _renew_budget(
        self, pool: service_pool.ServicePool, history: retries.AttemptHistory
    ) -> bool:
        """Return whether an attempt may begin now, by what was spent for it."""
        if history.spending is None:
            return True
        history.spending = pool.retries.queue.renew(history.spending)
        return history.spending is not None

    async def _admit_or_refund(
        self,
        request: caller_requests.CallerRequest,
        pool: service_pool.ServicePool,
        history: retries.AttemptHistory,
    ) -> target_record.TargetRecord:
        try:
            return await self._admit(
                request, pool, history, self._relayed.require_not_due
            )
        except relay_messages.CutOffError:
            raise
        except BaseException:
            if history.spending is not None:
                pool.retries.queue.refund(history.spending)
                history.spending = None
            raise

    async def _admit(
        self,
        request: caller_requests.CallerRequest,
        pool: service_pool.ServicePool,
        history: retries.AttemptHistory,
        require: Callable[[ids.ServiceName], None],
    ) -> target_record.TargetRecord:
        """Wait for a slot, as long as ``require`` does not raise."""
        request.require_time_left(self._shared.clock)
        self._shared.quarantine.admit(request.fingerprint)
        # A second crash of the same target would give no new information.
        crashed_targets = self._shared.quarantine.crashed_targets(
            request.fingerprint
        )
        if crashed_targets and pool.has_other_target(
            history.tried | crashed_targets
        ):
            history.tried |= crashed_targets
        try:
            return await pool.acquire(
                admission.QueuedRequest(
                    request.priority,
                    request.deadline_s,
                    accepts_any_target=not history.tried,
                    preferred_start_by_s=preferred_start_by_s(request, pool),
                ),
                _requirements(
                    request,
                    pool,
                    history,
                    functools.partial(
                        self._require_to_wait, request, pool, require
                    ),
                ),
            )
        except BaseException:
            self._shared.quarantine.released(request.fingerprint)
            raise

    def _require_to_wait(
        self,
        request: caller_requests.CallerRequest,
        pool: service_pool.ServicePool,
        require: Callable[[ids.ServiceName], None],
    ) -> None:
        """Raise as soon as the request is not to wait here any more."""
        require(request.service)
        exit_check.require_time_to_run(self._shared, request, pool)

    async def _run(
        self,
        first: racing.Run,
        request: caller_requests.CallerRequest,
        pool: service_pool.ServicePool,
        history: retries.AttemptHistory,
    ) -> answers.Answer:
        """Run one attempt, and a hedge if it is slow."""
        delay_s = pool.hedge_delay_s()
        if delay_s is None or not request.route.is_idempotent:
            return await first
        return await racing.first_good(
            first,
            delay_s,
            lambda: self._hedge(request, pool, history),
        )

    def _hedge(
        self,
        request: caller_requests.CallerRequest,
        pool: service_pool.ServicePool,
        history: retries.AttemptHistory,
    ) -> racing.Run | None:
        """Return a second attempt, None where it must not or can't begin."""
        if not retries.has_attempts_left(request, history.ran + 1):
            return None
        if request.left_s(self._shared.clock) <= pool.typical_latency_s:
            return None
        if self._shared.quarantine.crashed_targets(request.fingerprint):
            return None
        if self._relayed.are_due_for(request):
            return self._relayed.hedge(request, pool, history)
        record = pool.try_acquire(_requirements(request, pool, history))
        if record is None:
            return None
        if not pool.retries.queue.try_spend_for_hedge():
            pool.release(record)
            return None
        history.tried.add(record.listed.target_id)
        history.ran += 1
        return self._attempt(request, pool, record, is_hedge=True)

    async def _attempt(
        self,
        request: caller_requests.CallerRequest,
        pool: service_pool.ServicePool,
        record: target_record.TargetRecord,
        *,
        is_hedge: bool = False,
    ) -> answers.Answer:
        quarantine = self._shared.quarantine
        now_s = self._shared.clock.monotonic_s()
        is_target_sound = (
            record.estimate.failing_probability(now_s) < _SUSPECTED_PROBABILITY
        )
        try:
            answer = await attempt.Attempt(
                self._shared,
                request,
                pool,
                record,
                is_hedge=is_hedge,
            ).run()
        except errors.TargetGoneError:
            # A process that crashes closes its connections: not its cause.
            quarantine.released(request.fingerprint)
            raise
        except errors.ConnectionLostError:
            if self._shared.services.connectivity.is_cut_off(request.service):
                quarantine.released(request.fingerprint)
                raise
            target_id = record.listed.target_id
            loss = quarantine.crashed(
                request.fingerprint,
                request.service,
                target_id,
                is_target_sound
                # A target that resets connections without a crash marks each
                # of its requests once.
                or quarantine.has_suspect_request_on(
                    target_id, must_be_proved=True
                ),
            )
            self._shared.metrics.lost(loss.verdict)
            self._shared.decision_log.log_loss(request, record, loss)
            raise
        except BaseException:
            quarantine.released(request.fingerprint)
            raise
        if answer.is_good:
            quarantine.answered(request.fingerprint, request.service)
        else:
            quarantine.released(request.fingerprint)
        return answer


def _requirements(
    request: caller_requests.CallerRequest,
    pool: service_pool.ServicePool,
    history: retries.AttemptHistory,
    require_path: Callable[[], None] = attempt_requirements.accept,
) -> attempt_requirements.AttemptRequirements:
    since_s = max(request.arrived_s, request.admitted_s)
    wait_s = _WAIT_SHARE * request.route.target_latency_s
    prefer_best_until_s = min(
        since_s + wait_s, preferred_start_by_s(request, pool)
    )
    return attempt_requirements.AttemptRequirements(
        history.tried,
        len(request.body),
        since_s,
        prefer_best_until_s,
        is_final_attempt=not retries.could_retry(request, pool, history),
        priority=request.priority,
        require_path=require_path,
    )


def preferred_start_by_s(
    request: caller_requests.CallerRequest,
    pool: service_pool.ServicePool,
) -> float:
    """Return until when an attempt should begin to meet the target latency.

    The typical latency is that of all routes of the service. A route whose
    target latency is shorter is assumed to need half of it.
    """
    goal_s = request.route.target_latency_s
    return request.arrived_s + goal_s - min(pool.typical_latency_s, goal_s / 2)
