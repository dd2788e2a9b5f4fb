"""The targets of one service as seen by one daemon, and how it selects one."""

import random
from collections.abc import Callable, Collection, Iterable
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.entry import (
    attempt_requirements,
    exploration,
    idle_threshold,
    model,
    refusals,
    target_cost,
    target_record,
    target_table,
)
from sardinepier.entry import capacity_forecast as forecasts
from sardinepier.entry import service_retries
from sardinepier.entry import waiting_elsewhere as elsewhere
from sardinepier.health import failure_estimate
from sardinepier.routing import admission, fleet_budget, hedging

_QUEUE_LENGTH: Final = 256
"""Requests that may wait for a slot: two seconds of traffic of a busy
service."""

_HEDGE_PERCENTILE: Final = 95
"""Percentile of the latency after which a hedge starts, so that the slowest
answers of a service don't determine the tail latency of its callers."""

_FIRST_HEDGE_FACTOR: Final = 2.5
"""Hedge delay as a multiple of the typical latency, until the percentile is
known. One request in a hundred takes longer."""

_MS_PER_S: Final = 1000
_SMOOTHING: Final = 0.05
_EARLY_FACTOR: Final = 0.25
"""A failure within this part of the typical latency came before the request
could be processed. Failing targets answer in a fiftieth of it."""

_HUNG_FACTOR: Final = 1.5
"""Multiple of the typical latency after which an attempt that is given up
counts against its target. By then a hedge, which starts when nineteen in twenty
requests have an answer, has been answered."""


class ServicePool:
    """Selects targets of one service and learns from their outcomes.

    For example::

        record = await pool.acquire(queued_request, requirements)
        number = pool.started(record)
        ...
        pool.finished(record, number)
        pool.answered(record, latency_s)
    """

    def __init__(
        self,
        name: ids.ServiceName,
        zone: ids.ZoneName,
        clock: clocks.Clock,
        random_source: random.Random,
        retry_percent: float,
        options: failure_estimate.EstimateOptions,
        min_used_share: float = idle_threshold.MIN_USED_SHARE,
    ) -> None:
        """Start without targets."""
        self.name = name
        self.typical_latency_s = 0.0
        self.on_outcome: Callable[[bool], None] = _ignore_outcome
        self.shares_zone = False
        self.unreachable_zones: frozenset[ids.ZoneName] = frozenset()
        self._explorer = exploration.Explorer(clock, min_used_share)
        self._typical_answer_bytes = 0.0
        self._hedge_delay = hedging.HedgeDelay(_HEDGE_PERCENTILE)
        self.retries = service_retries.ServiceRetries(
            clock,
            random_source,
            retry_percent,
            lambda: self.typical_latency_s,
        )
        self._zone = zone
        self._clock = clock
        self._random = random_source
        self.targets = target_table.TargetTable(
            clock,
            random_source,
            options,
        )
        self.waiting_elsewhere = elsewhere.WaitingElsewhere()
        self._attempts = 0
        self._queue = admission.SlotQueue(
            clock,
            _QUEUE_LENGTH,
            random_source,
            self._release_slot,
            lambda: forecasts.forecast(
                self.targets,
                clock.monotonic_s(),
            ),
        )
        self.waiting_by_priority = self._queue.waiting_by_priority

    @property
    def retry_budget(self) -> fleet_budget.FleetBudget:
        """The budget of further attempts; ``retries.queue`` spends it."""
        return self.retries.budget

    def set_targets(self, listed: Iterable[model.ListedTarget]) -> None:
        """Replace the targets; those that stay keep their records."""
        self.targets.set(listed)
        self._queue.wake()

    async def acquire(
        self,
        queued_request: admission.QueuedRequest,
        requirements: attempt_requirements.AttemptRequirements,
    ) -> target_record.TargetRecord:
        """Wait for a slot at a target that was not tried yet.

        A suspected target is selected only after the request has waited for
        a better one.

        Raises ``NoTargetError`` at once when there is no such target, and the
        refusals of :mod:`sardinepier.routing.errors` when the wait would be
        too long. The slot is reserved until ``started``, which must be called
        before anything else is awaited.
        """
        accepts_from_s = forecasts.next_accepting_s(
            self.targets,
            requirements.tried,
            self._clock.monotonic_s(),
        )
        if accepts_from_s >= queued_request.deadline_s:
            raise _no_target(self)

        target_id = await self._queue.acquire(
            queued_request,
            lambda: self._choose(requirements),
        )
        record = self.targets.find(target_id)
        if record is None:
            raise _no_target(self)
        return record

    def try_acquire(
        self, requirements: attempt_requirements.AttemptRequirements
    ) -> target_record.TargetRecord | None:
        """Reserve a slot without waiting; return None if no slot is free."""
        target_id = self._choose(requirements)
        return None if target_id is None else self.targets.find(target_id)

    def started(self, record: target_record.TargetRecord) -> int:
        """Turn the reserved slot into an attempt, and return its number."""
        self._attempts += 1
        record.reserved -= 1
        record.started_s[self._attempts] = self._clock.monotonic_s()
        record.was_used = True
        record.last_used_s = self._clock.monotonic_s()
        return self._attempts

    def release(self, record: target_record.TargetRecord) -> None:
        """Release a slot that was reserved and not used."""
        self._release_slot(record.listed.target_id)
        self._queue.wake()

    def finished(self, record: target_record.TargetRecord, number: int) -> None:
        """Release the slot of an attempt that ended."""
        record.started_s.pop(number, None)
        self._queue.wake()

    def answered(
        self,
        record: target_record.TargetRecord,
        latency_s: float,
        answer_bytes: int = 0,
    ) -> None:
        """Record a good answer."""
        deviation_bytes = answer_bytes - self._typical_answer_bytes
        self._typical_answer_bytes += _SMOOTHING * deviation_bytes
        record.estimate.answered(self._clock.monotonic_s())
        record.estimate_source = target_record.ObservationSource.OWN
        self._explorer.recent.record(is_failure=False)
        record.is_exploration = False
        self.on_outcome(True)
        record.record_latency(latency_s, self.typical_latency_s)
        self._queue.observe_service_time(latency_s)
        self._hedge_delay.observe(latency_s * _MS_PER_S)
        if self.typical_latency_s:
            self.typical_latency_s += _SMOOTHING * (
                latency_s - self.typical_latency_s
            )
        else:
            self.typical_latency_s = latency_s

    def failed(
        self,
        record: target_record.TargetRecord,
        taken_s: float,
        *,
        is_given_up: bool = False,
    ) -> None:
        """Record that the target failed a request after ``taken_s``.

        ``is_given_up`` says that the attempt was cancelled without an answer,
        because another attempt was answered first or the caller left. It then
        counts only if it took longer than processing usually takes.
        """
        now_s = self._clock.monotonic_s()
        if is_given_up:
            if (
                taken_s < _HUNG_FACTOR * self.typical_latency_s
                or not self.typical_latency_s
            ):
                return
            record.estimate.hung(now_s)
        else:
            is_early = taken_s < _EARLY_FACTOR * self.typical_latency_s
            record.estimate.failed(now_s, is_early=is_early)
        record.estimate_source = target_record.ObservationSource.OWN
        # Failed explorations don't count: a high share of failures causes
        # more explorations, which would keep that share high. Attempts that
        # were given up don't count either: the request was served by another
        # attempt, or its caller left.
        if not record.is_exploration and not is_given_up:
            self._explorer.recent.record(is_failure=True)
        record.is_exploration = False
        self.on_outcome(False)

    def refused(self) -> None:
        """Record that a request was refused because no target could run it."""
        self._explorer.recent.record(is_failure=True)

    def hedge_delay_s(self) -> float | None:
        """Return the delay after which a hedge is worth its cost.

        Until enough latencies are known for a percentile, it is a multiple of
        the typical latency; None before the first answer.
        """
        delay_ms = self._hedge_delay.delay_ms()
        if delay_ms is not None:
            return delay_ms / _MS_PER_S
        return _FIRST_HEDGE_FACTOR * self.typical_latency_s or None

    def has_other_target(self, tried: Collection[ids.TargetId]) -> bool:
        """Return whether any target is not among ``tried``."""
        return any(
            record.listed.target_id not in tried
            for record in self.targets.records()
        )

    def retry_after_s(self) -> float:
        """Return after how many seconds a caller should try again."""
        return forecasts.retry_after_s(
            self.targets.records(),
            self._clock.monotonic_s(),
            self._random,
        )

    def _choose(
        self, requirements: attempt_requirements.AttemptRequirements
    ) -> ids.TargetId | None:
        requirements.require_path()
        now_s = self._clock.monotonic_s()
        not_accepting = self.targets.not_accepting()
        accepting = [
            record
            for record in self.targets.records()
            if record not in not_accepting
        ]
        untried = [
            record
            for record in accepting
            if record.listed.target_id not in requirements.tried
        ]
        free = [
            record
            for record in untried
            if record.may_have_free_slot(now_s)
            and not record.awaits_trial(now_s, self.typical_latency_s)
        ]
        waiting = self.waiting_elsewhere.above(requirements.priority, now_s)
        free = elsewhere.without_yielded_slots(
            free, waiting, now_s, self.typical_latency_s
        )
        context = target_cost.SelectionContext(
            self._zone,
            now_s,
            self.typical_latency_s,
            target_cost.zone_cost(
                requirements.body_bytes + self._typical_answer_bytes
            ),
            shares_zone=self.shares_zone,
            unreachable_zones=self.unreachable_zones,
        )
        to_explore = self._explorer.find(free, accepting, requirements, context)
        chosen = to_explore or target_cost.cheapest(
            free,
            untried,
            requirements.tolerance(now_s),
            context,
            self._random,
        )
        if chosen is None:
            return None
        chosen.is_exploration = chosen is to_explore
        chosen.reserved += 1
        self.targets.mark_used(chosen)
        if not waiting:
            chosen.elsewhere.stop_yielding()
        chosen.statements.take(now_s)
        return chosen.listed.target_id

    def _release_slot(self, target_id: ids.TargetId) -> None:
        record = self.targets.find(target_id)
        if record is not None:
            record.reserved -= 1
            record.statements.refund()


def _no_target(pool: ServicePool) -> refusals.NoTargetError:
    return refusals.NoTargetError(
        f'Service {pool.name} has no target that accepts this request',
        'Send it again after the stated time',
        pool.retry_after_s(),
    )


def _ignore_outcome(is_good: bool) -> None:
    """Act as ``on_outcome`` until a callback is set."""
