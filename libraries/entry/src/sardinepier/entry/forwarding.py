"""How often, and where, one request is attempted.

An idempotent request may go to another target after a failure, within the
retry budget and the route's number of attempts. A non-idempotent one may only
when it is proved that nothing ran. No target gets the same request twice.
"""

from typing import Final

from sardinepier.core import errors as core_errors
from sardinepier.entry import (
    answers,
    attempt,
    context,
    racing,
    retries,
    service_pool,
    target_record,
    attempt_requirements,
)
from sardinepier.entry import caller_request
from sardinepier.gateway import errors
from sardinepier.routing import admission

_PATIENCE: Final = 0.3
"""Part of the latency that a route aims at, after which any target will do:
the rest still holds the work itself."""

_DOUBTFUL: Final = 0.5
"""Above this chance that the target fails by itself, a lost connection says
nothing about the request, unless another request accounts for the doubt."""


class Forwarding:
    """Sends the requests of one daemon to targets."""

    def __init__(self, shared: context.EntryContext) -> None:
        """Work with the daemon's collaborators."""
        self._shared = shared

    async def forward(
        self, item: caller_request.CallerRequest
    ) -> answers.Answer:
        """Return a target's answer.

        Raises ``NotRunError`` only when it is proved that nothing ran, else
        ``UnknownFateError`` of :mod:`sardinepier.entry.refusals`.
        """
        pool = self._shared.services.pool(item.service)
        pool.retry_budget.record_request()
        history = retries.AttemptHistory()
        try:
            return await self._attempts(item, pool, history)
        except core_errors.SardinepierError as error:
            if history.nothing_ran():
                pool.refused()
            return history.resolve(error, pool.retry_after_s())

    async def _attempts(
        self,
        item: caller_request.CallerRequest,
        pool: service_pool.ServicePool,
        history: retries.AttemptHistory,
    ) -> answers.Answer:
        while True:
            record = await self._admit(item, pool, history)
            history.tried.add(record.listed.target_id)
            try:
                answer = await self._run(item, pool, record, history)
            except errors.GatewayError as error:
                history.record_failure(error)
                if not retries.may_retry_after(item, pool, history, error):
                    raise
                continue
            history.ran += 1
            if answer.is_good or not retries.may_retry(item, pool, history):
                return answer
            history.answer = answer

    async def _admit(
        self,
        item: caller_request.CallerRequest,
        pool: service_pool.ServicePool,
        history: retries.AttemptHistory,
    ) -> target_record.TargetRecord:
        item.require_time_left(self._shared.clock)
        self._shared.quarantine.admit(item.fingerprint)
        # Crashing a target twice takes it down twice and tells nothing new.
        crashed_targets = self._shared.quarantine.crashed_targets(
            item.fingerprint
        )
        if crashed_targets and pool.has_other_target(
            history.tried | crashed_targets
        ):
            history.tried |= crashed_targets
        try:
            return await pool.acquire(
                admission.QueuedRequest(
                    item.priority,
                    item.deadline_s,
                    accepts_any_target=not history.tried,
                    preferred_start_by_s=_best_begun_by_s(item, pool),
                ),
                _wish(item, pool, history),
            )
        except BaseException:
            self._shared.quarantine.released(item.fingerprint)
            raise

    async def _run(
        self,
        item: caller_request.CallerRequest,
        pool: service_pool.ServicePool,
        record: target_record.TargetRecord,
        history: retries.AttemptHistory,
    ) -> answers.Answer:
        """Run one attempt, and a second beside it when it is slow."""
        first = self._attempt(item, pool, record)
        delay_s = pool.hedge_delay_s()
        if delay_s is None or not item.route.is_idempotent:
            return await first
        return await racing.first_good(
            first,
            delay_s,
            lambda: self._hedge(item, pool, history),
        )

    def _hedge(
        self,
        item: caller_request.CallerRequest,
        pool: service_pool.ServicePool,
        history: retries.AttemptHistory,
    ) -> racing.Run | None:
        """Return a second attempt, None where it may not or can't begin."""
        if not retries.has_attempts_left(item, history.ran + 1):
            return None
        if item.left_s(self._shared.clock) <= pool.typical_latency_s:
            return None
        record = pool.try_acquire(_wish(item, pool, history))
        if record is None:
            return None
        if not pool.retry_budget.try_spend():
            pool.release(record)
            return None
        history.tried.add(record.listed.target_id)
        history.ran += 1
        return self._attempt(item, pool, record, is_hedge=True)

    async def _attempt(
        self,
        item: caller_request.CallerRequest,
        pool: service_pool.ServicePool,
        record: target_record.TargetRecord,
        *,
        is_hedge: bool = False,
    ) -> answers.Answer:
        quarantine = self._shared.quarantine
        now_s = self._shared.clock.monotonic_s()
        is_fine = record.estimate.failing_probability(now_s) < _DOUBTFUL
        try:
            answer = await attempt.Attempt(
                self._shared,
                item,
                pool,
                record,
                is_hedge=is_hedge,
            ).run()
        except errors.ConnectionLostError:
            target_id = record.listed.target_id
            quarantine.crashed(
                item.fingerprint,
                target_id,
                is_fine or quarantine.has_suspect_request_on(target_id),
            )
            raise
        except BaseException:
            quarantine.released(item.fingerprint)
            raise
        quarantine.answered(item.fingerprint, record.listed.target_id)
        return answer


def _wish(
    item: caller_request.CallerRequest,
    pool: service_pool.ServicePool,
    history: retries.AttemptHistory,
) -> attempt_requirements.AttemptRequirements:
    patience_s = _PATIENCE * item.route.target_latency_s
    return attempt_requirements.AttemptRequirements(
        history.tried,
        len(item.body),
        item.arrived_s,
        item.arrived_s + patience_s,
        is_final_attempt=not retries.could_retry(item, pool, history),
    )


def _best_begun_by_s(
    item: caller_request.CallerRequest,
    pool: service_pool.ServicePool,
) -> float:
    """Return until when an attempt may begin and still be in time.

    The usual work of the service is that of all its routes: one that aims at
    less is taken to need half of what it aims at.
    """
    aim_s = item.route.target_latency_s
    return item.arrived_s + aim_s - min(pool.typical_latency_s, aim_s / 2)
