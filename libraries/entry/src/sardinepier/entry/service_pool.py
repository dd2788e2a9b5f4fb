"""The targets of one service, as one daemon sees and uses them."""

import random
from collections.abc import Callable, Collection, Iterable
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.entry import (
    idle_threshold,
    model,
    exploration,
    target_cost,
    refusals,
    target_record,
    target_table,
    attempt_requirements,
)
from sardinepier.entry import capacity_forecast
from sardinepier.health import failure_estimate
from sardinepier.routing import admission, budget, hedging

_QUEUE_LENGTH: Final = 256
"""Requests that may wait for a slot: two seconds of a busy service."""

_HEDGE_PERCENTILE: Final = 95
"""Share of the answers that come before a second attempt begins; the others
would otherwise decide the slowest answers of all callers."""

_FIRST_HEDGE_FACTOR: Final = 2.5
"""Of measured work, one request in a hundred takes longer than this."""

_MS_PER_S: Final = 1000
_USUAL_SMOOTHING: Final = 0.05
_FULL_S: Final = 0.1
"""How long a target that refused is left alone: about half of the usual
work, after which a slot has come free."""

_EARLY_FACTOR: Final = 0.25
"""A failure within this part of the usual latency came before the work could
be done. Measured, failing targets answer in a fiftieth of it."""

_HUNG_FACTOR: Final = 1.5
"""Of the usual latency, after which an attempt that is given up speaks against
its target. A second attempt began beside it before, when nineteen in twenty have
an answer, and has brought one since."""


class ServicePool:
    """Chooses targets of one service and learns from what they answer.

    For example::

        record = await pool.acquire(work, tried=())
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
        least_used_share: float = idle_threshold.LEAST_USED_SHARE,
    ) -> None:
        """Start without targets."""
        self.name = name
        self.typical_latency_s = 0.0
        self.on_outcome: Callable[[bool], None] = _tell_nobody
        self.shares_zone = False
        self.unreachable_zones: frozenset[ids.ZoneName] = frozenset()
        self._overlooked = exploration.Explorer(clock, least_used_share)
        self._usual_bytes = 0.0
        self._hedge_delay = hedging.HedgeDelay(_HEDGE_PERCENTILE)
        # No floor: many daemons with a few requests each would use it, and
        # their sum would grow with the fleet. They round at random instead,
        # and carriers have the burst.
        self.retry_budget = budget.RetryBudget(
            clock,
            retry_percent,
            floor=0,
            rounding=random_source.random(),
        )
        self._zone = zone
        self._clock = clock
        self._random = random_source
        self.targets = target_table.TargetTable(
            clock,
            random_source,
            options,
        )
        self._attempts = 0
        self._queue = admission.SlotQueue(
            clock,
            _QUEUE_LENGTH,
            random_source,
            self._give_back,
            lambda: capacity_forecast.forecast(
                self.targets,
                clock.monotonic_s(),
            ),
        )

    def set_targets(self, listed: Iterable[model.ListedTarget]) -> None:
        """Replace the targets; those that stay keep what is known of them."""
        self.targets.set(listed)
        self._queue.wake()

    async def acquire(
        self,
        work: admission.QueuedRequest,
        requirements: attempt_requirements.AttemptRequirements,
    ) -> target_record.TargetRecord:
        """Wait for a slot at a target that was not tried yet.

        A doubtful target is only taken once the request has waited for a
        better one.

        Raises ``NoTargetError`` at once without any such target, and the
        refusals of :mod:`sardinepier.routing.errors` when the wait would be
        too long. The slot is reserved until ``started``, which must follow
        before anything else is awaited.
        """
        opens_at_s = capacity_forecast.next_accepting_s(
            self.targets,
            requirements.tried,
            self._clock.monotonic_s(),
        )
        if opens_at_s >= work.deadline_s:
            raise _no_target(self)
        target_id = await self._queue.acquire(
            work,
            lambda: self._choose(requirements),
        )
        record = self.targets.find(target_id)
        if record is None:
            raise _no_target(self)
        return record

    def try_acquire(
        self, requirements: attempt_requirements.AttemptRequirements
    ) -> target_record.TargetRecord | None:
        """Return a target with a free slot, None when a wait is needed."""
        target_id = self._choose(requirements)
        return None if target_id is None else self.targets.find(target_id)

    def started(self, record: target_record.TargetRecord) -> int:
        """Take a slot of the target and return the attempt's number."""
        self._attempts += 1
        record.reserved -= 1
        record.started_s[self._attempts] = self._clock.monotonic_s()
        record.was_used = True
        record.last_used_s = self._clock.monotonic_s()
        return self._attempts

    def release(self, record: target_record.TargetRecord) -> None:
        """Give back a slot that was reserved and not used."""
        self._give_back(record.listed.target_id)
        self._queue.wake()

    def finished(self, record: target_record.TargetRecord, number: int) -> None:
        """Give the slot back."""
        record.started_s.pop(number, None)
        self._queue.wake()

    def answered(
        self,
        record: target_record.TargetRecord,
        latency_s: float,
        answer_bytes: int = 0,
    ) -> None:
        """Take in a good answer."""
        grown_bytes = answer_bytes - self._usual_bytes
        self._usual_bytes += _USUAL_SMOOTHING * grown_bytes
        record.estimate.answered(self._clock.monotonic_s())
        record.belief_source = target_record.ObservationSource.OWN
        self._overlooked.recent.record(is_failure=False)
        record.is_exploration = False
        self.on_outcome(True)
        record.record_latency(latency_s, self.typical_latency_s)
        self._queue.observe_service_time(latency_s)
        self._hedge_delay.observe(latency_s * _MS_PER_S)
        if self.typical_latency_s:
            self.typical_latency_s += _USUAL_SMOOTHING * (
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
        """Take in that the target failed a request after ``taken_s``.

        ``is_given_up`` says that the attempt was ended without an answer, as
        another one answered first or the caller left. Had it taken no longer
        than work may take, that says nothing of the target.
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
        record.belief_source = target_record.ObservationSource.OWN
        # Turns that failed don't count: where many of them do, they would
        # keep up the share of failures that brings them about. Nor do attempts
        # that were given up: the request was served, or is not missed.
        if not record.is_exploration and not is_given_up:
            self._overlooked.recent.record(is_failure=True)
        record.is_exploration = False
        self.on_outcome(False)

    def refused(self) -> None:
        """Take in that a request was refused, since nothing could run it."""
        self._overlooked.recent.record(is_failure=True)

    def mark_full(self, record: target_record.TargetRecord) -> None:
        """Take in that the target had no room for a request."""
        record.full_until_s = self._clock.monotonic_s() + _FULL_S

    def hedge_delay_s(self) -> float | None:
        """Return after how long a second attempt is worth its cost.

        Until enough answers were seen to know their spread, it is a multiple
        of the usual latency; None before the first answer.
        """
        delay_ms = self._hedge_delay.delay_ms()
        if delay_ms is not None:
            return delay_ms / _MS_PER_S
        return _FIRST_HEDGE_FACTOR * self.typical_latency_s or None

    def has_other_target(self, tried: Collection[ids.TargetId]) -> bool:
        """Tell whether any target is not among ``tried``."""
        return any(
            record.listed.target_id not in tried
            for record in self.targets.records()
        )

    def retry_after_s(self) -> float:
        """Return when targets want requests again, here or elsewhere."""
        return capacity_forecast.retry_after_s(
            self.targets.records(),
            self._clock.monotonic_s(),
            self._random,
        )

    def _choose(
        self, requirements: attempt_requirements.AttemptRequirements
    ) -> ids.TargetId | None:
        now_s = self._clock.monotonic_s()
        closed = self.targets.not_accepting()
        known = [one for one in self.targets.records() if one not in closed]
        wanted = [
            record
            for record in known
            if record.listed.target_id not in requirements.tried
        ]
        free = [
            record
            for record in wanted
            if record.has_free_slot(now_s)
            and not record.awaits_trial(now_s, self.typical_latency_s)
        ]
        context = target_cost.SelectionContext(
            self._zone,
            now_s,
            self.typical_latency_s,
            target_cost.zone_cost(requirements.body_bytes + self._usual_bytes),
            shares_zone=self.shares_zone,
            unreachable_zones=self.unreachable_zones,
        )
        due = self._overlooked.find(free, known, requirements, context)
        chosen = due or target_cost.cheapest(
            free,
            wanted,
            requirements.tolerance(now_s),
            context,
            self._random,
        )
        if chosen is None:
            return None
        chosen.is_exploration = chosen is due
        chosen.reserved += 1
        chosen.statements.take(now_s)
        return chosen.listed.target_id

    def _give_back(self, target_id: ids.TargetId) -> None:
        record = self.targets.find(target_id)
        if record is not None:
            record.reserved -= 1
            record.statements.refund()


def _no_target(pool: ServicePool) -> refusals.NoTargetError:
    return refusals.NoTargetError(
        f'Service {pool.name} has no target that may take this request',
        'Send it again after the stated time',
        pool.retry_after_s(),
    )


def _tell_nobody(is_good: bool) -> None:
    """Stand in for ``on_outcome`` while nobody listens."""
