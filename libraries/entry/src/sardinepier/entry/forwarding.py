"""How often, and where, one request is attempted.

An idempotent request may go to another target after a failure, within the
retry budget and the route's number of attempts. A non-idempotent one may only
when it is proved that nothing ran. No target gets the same request twice.
"""

import dataclasses
from typing import Final

from sardinepier.core import errors as core_errors
from sardinepier.core import ids
from sardinepier.entry import (
    answers,
    attempt,
    context,
    racing,
    refusals,
    service_pool,
    target_record,
    wishes,
)
from sardinepier.entry import work as works
from sardinepier.gateway import errors
from sardinepier.once import errors as once_errors
from sardinepier.routing import admission
from sardinepier.routing import errors as routing_errors

_MOST_NOT_RUN: Final = 4
"""Targets that may turn a request away or be out of reach before it is
refused: with a tenth of a service gone, all four are by bad luck in one case
of ten thousand."""

_MOST_LOST: Final = 2
"""Lost connections after which a request is taken for the cause."""

_PATIENCE: Final = 0.3
"""Part of the latency that a route aims at, after which any target will do:
the rest still holds the work itself."""

_DOUBTFUL: Final = 0.5
"""Above this chance that the target fails by itself, a lost connection says
nothing about the request."""

_RETRY_AFTER_S: Final = 0.2


@dataclasses.dataclass(slots=True)
class _History:
    """What the attempts of one request came to so far."""

    tried: set[ids.TargetId] = dataclasses.field(default_factory=set)
    not_run: int = 0
    ran: int = 0
    lost: int = 0
    failure: errors.UnknownFateError | None = None
    answer: answers.Answer | None = None


class Forwarding:
    """Sends the requests of one daemon to targets."""

    def __init__(self, shared: context.EntryContext) -> None:
        """Work with the daemon's collaborators."""
        self._shared = shared

    async def forward(self, item: works.Work) -> answers.Answer:
        """Return a target's answer.

        Raises ``NotRunError`` only when it is proved that nothing ran, else
        ``UnknownFateError`` of :mod:`sardinepier.entry.refusals`.
        """
        pool = self._shared.services.pool(item.service)
        pool.retry_budget.record_request()
        history = _History()
        try:
            return await self._attempts(item, pool, history)
        except core_errors.SardinepierError as error:
            return _last_resort(history, error)

    async def _attempts(
        self,
        item: works.Work,
        pool: service_pool.ServicePool,
        history: _History,
    ) -> answers.Answer:
        while True:
            record = await self._admit(item, pool, history)
            history.tried.add(record.listed.target_id)
            try:
                answer = await self._run(item, pool, record, history)
            except errors.GatewayError as error:
                _note(history, error)
                if not _may_go_on(item, pool, history, error):
                    raise
                continue
            history.ran += 1
            if answer.is_good or not _may_repeat(item, pool, history):
                return answer
            history.answer = answer

    async def _admit(
        self,
        item: works.Work,
        pool: service_pool.ServicePool,
        history: _History,
    ) -> target_record.TargetRecord:
        item.require_time(self._shared.clock)
        self._shared.quarantine.admit(item.fingerprint)
        wish = _wish(item, pool, history)
        try:
            return await pool.acquire(
                admission.Work(
                    item.route.priority,
                    item.deadline_s,
                    takes_any=not history.tried,
                    best_begun_by_s=_best_begun_by_s(item, pool),
                ),
                wish,
            )
        except BaseException:
            self._shared.quarantine.released(item.fingerprint)
            raise

    async def _run(
        self,
        item: works.Work,
        pool: service_pool.ServicePool,
        record: target_record.TargetRecord,
        history: _History,
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
        item: works.Work,
        pool: service_pool.ServicePool,
        history: _History,
    ) -> racing.Run | None:
        """Return a second attempt, None where it may not or can't begin."""
        if history.ran + 1 >= item.route.max_attempts:
            return None
        if item.left_s(self._shared.clock) <= pool.usual_s:
            return None
        record = pool.try_acquire(_wish(item, pool, history))
        if record is None:
            return None
        if not pool.retry_budget.try_spend():
            pool.release(record)
            return None
        history.tried.add(record.listed.target_id)
        history.ran += 1
        return self._attempt(item, pool, record, is_beside=True)

    async def _attempt(
        self,
        item: works.Work,
        pool: service_pool.ServicePool,
        record: target_record.TargetRecord,
        *,
        is_beside: bool = False,
    ) -> answers.Answer:
        quarantine = self._shared.quarantine
        now_s = self._shared.clock.monotonic_s()
        is_fine = record.belief.failing(now_s) < _DOUBTFUL
        try:
            answer = await attempt.Attempt(
                self._shared,
                item,
                pool,
                record,
                is_beside=is_beside,
            ).run()
        except errors.ConnectionLostError:
            quarantine.crashed(
                item.fingerprint,
                record.listed.target_id,
                is_fine,
            )
            raise
        except BaseException:
            quarantine.released(item.fingerprint)
            raise
        quarantine.answered(item.fingerprint)
        return answer


def _wish(
    item: works.Work,
    pool: service_pool.ServicePool,
    history: _History,
) -> wishes.Wish:
    patience_s = _PATIENCE * item.route.target_latency_s
    return wishes.Wish(
        history.tried,
        len(item.body),
        item.arrived_s,
        item.arrived_s + patience_s,
        is_last=not _may_follow(item, pool, history),
    )


def _best_begun_by_s(
    item: works.Work,
    pool: service_pool.ServicePool,
) -> float:
    """Return until when an attempt may begin and still be in time.

    The usual work of the service is that of all its routes: one that aims at
    less is taken to need half of what it aims at.
    """
    aim_s = item.route.target_latency_s
    return item.arrived_s + aim_s - min(pool.usual_s, aim_s / 2)


def _may_follow(
    item: works.Work,
    pool: service_pool.ServicePool,
    history: _History,
) -> bool:
    """Tell whether an attempt that fails now may be followed by another."""
    if not item.route.is_idempotent:
        return False
    if history.ran + 1 >= item.route.max_attempts:
        return False
    return pool.retry_budget.has_room()


def _note(history: _History, error: errors.GatewayError) -> None:
    if isinstance(error, errors.UnknownFateError):
        history.failure = error
        history.ran += 1
        history.lost += isinstance(error, errors.ConnectionLostError)
    else:
        history.not_run += 1


def _may_go_on(
    item: works.Work,
    pool: service_pool.ServicePool,
    history: _History,
    error: errors.GatewayError,
) -> bool:
    """Decide on a further attempt after one without an answer."""
    if item.is_abandoned:
        return False
    if isinstance(error, errors.AnswerOverdueError):
        return False
    if isinstance(error, errors.ConnectFailedError):
        # Nothing arrived anywhere, so that this costs no other target
        # anything and needs no budget.
        return history.not_run < _MOST_NOT_RUN
    if isinstance(error, errors.ProvedNotRunError):
        if history.not_run >= _MOST_NOT_RUN:
            return False
        return pool.retry_budget.try_spend()
    if history.lost >= _MOST_LOST:
        return False
    return _may_repeat(item, pool, history)


def _may_repeat(
    item: works.Work,
    pool: service_pool.ServicePool,
    history: _History,
) -> bool:
    """Decide whether a request that ran may run once more elsewhere."""
    if not item.route.is_idempotent:
        return False
    if history.ran >= item.route.max_attempts:
        return False
    return pool.retry_budget.try_spend()


def _last_resort(
    history: _History,
    error: core_errors.SardinepierError,
) -> answers.Answer:
    """Return the failure that a target answered, or raise what is known."""
    if history.answer is not None:
        return history.answer
    if isinstance(error, errors.AnswerOverdueError):
        raise refusals.OverdueError(error.what, error.remedy) from error
    unknown = history.failure
    if unknown is None and isinstance(error, errors.UnknownFateError):
        unknown = error
    if unknown is not None:
        raise refusals.UnknownFateError(
            unknown.what,
            unknown.remedy,
        ) from error
    raise _not_run(error) from error


def _not_run(error: core_errors.SardinepierError) -> refusals.NotRunError:
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
    return refusals.NoTargetError(error.what, error.remedy, _RETRY_AFTER_S)
