"""Log lines about the decisions on a request, and what they are based on.

Attempts are logged when they begin, failures and refusals when they occur. The
end of a request that is answered at the first attempt is not logged. Whether a
non-idempotent request ran has to be known afterwards, so that lines about its
retries, failures and end have a limit of their own, which a daemon reaches only
if all of its traffic fails.
"""

import dataclasses
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.entry import (
    caller_request,
    events,
    service_registry,
    service_retries,
    target_record,
)
from sardinepier.gateway import statements
from sardinepier.once import losses
from sardinepier.telemetry import line_budget, logs

_MS_PER_S: Final = 1000
_NO_LIMIT: Final = -1.0
_MAX_ID_LENGTH: Final = 64
_ATTEMPT_LINES_PER_S: Final = 60.0
"""Lines about attempts per second: one and a half times the typical traffic of
a carrier. At forty microseconds each they use a quarter of a percent of a
processor."""

_FAILURE_LINES_PER_S: Final = 120.0
_ONCE_LINES_PER_S: Final = 250.0
"""Lines about non-idempotent requests that had an attempt: three a request, at
the traffic of one daemon of the largest fleet."""

_BURST_S: Final = 2.0
"""Seconds' worth of lines at these rates that may be written at once."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestEnd:
    """How a request ended."""

    outcome: events.Outcome
    status: int
    error: str = ''
    what: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class _BudgetUse:
    """The attempts and requests that a retry budget has counted so far."""

    counted_s: float
    attempts: int
    requests: int


class DecisionLog:
    """Writes the log lines of one daemon's decisions, at a bounded rate."""

    def __init__(
        self,
        services: service_registry.ServiceRegistry,
        clock: clocks.Clock,
    ) -> None:
        """Log the versions and targets of ``services`` with each line."""
        self._services = services
        self._clock = clock
        self._attempt_lines = _budget(clock, _ATTEMPT_LINES_PER_S)
        self._failure_lines = _budget(clock, _FAILURE_LINES_PER_S)
        self._once_lines = _budget(clock, _ONCE_LINES_PER_S)
        self._no_use = _BudgetUse(clock.monotonic_s(), 0, 0)
        self._logged_use: dict[ids.ServiceName, _BudgetUse] = {}

    def log_attempt(
        self,
        request: caller_request.CallerRequest,
        record: target_record.TargetRecord,
        reason: events.Reason,
        typical_latency_s: float,
    ) -> events.Choice:
        """Log that an attempt begins, and return what it is based on."""
        now_s = self._clock.monotonic_s()
        choice = events.Choice(
            attempt=request.attempts,
            reason=reason,
            target=record.listed.target_id,
            target_zone=record.listed.zone,
            chance=round(
                record.failure_probability(now_s, typical_latency_s), 3
            ),
            belief_age_ms=_ms(now_s - record.estimate.updated_s),
            belief_source=record.estimate_source,
            in_flight=record.in_flight(now_s),
        )
        is_first = request.attempts == 1
        lines = self._attempt_lines if is_first else self._lines_about(request)
        if lines.allows():
            logs.write(
                self._attempt_line(request, choice, now_s), is_routine=is_first
            )
        return choice

    def log_statement(
        self,
        request: caller_request.CallerRequest,
        record: target_record.TargetRecord,
        statement: statements.Statement,
    ) -> None:
        """Log what a target stated of itself."""
        if not self._failure_lines.allows():
            return
        backoff_s = statement.backoff_until_s - self._clock.monotonic_s()
        logs.write(
            events.TargetStated(
                request_id=request.request_id,
                service=request.service,
                target=record.listed.target_id,
                is_leaving=statement.is_leaving,
                limit_per_s=(
                    _NO_LIMIT
                    if statement.limit_per_s is None
                    else statement.limit_per_s
                ),
                rest_ms=_ms(max(0.0, backoff_s)),
            ),
        )

    def log_foreign_answer(
        self,
        request: caller_request.CallerRequest,
        choice: events.Choice,
        status: int,
        echoed_id: str,
    ) -> None:
        """Log that an answer does not bear the id of its request."""
        if not self._lines_about(request).allows():
            return
        logs.write(
            events.ForeignAnswer(
                request_id=request.request_id,
                service=request.service,
                repeatable=request.route.is_idempotent,
                attempt=choice.attempt,
                target=choice.target,
                status=status,
                echoed_id=echoed_id[:_MAX_ID_LENGTH],
            ),
        )

    def log_attempt_failed(
        self,
        request: caller_request.CallerRequest,
        choice: events.Choice,
        what: str,
        taken_s: float,
    ) -> None:
        """Log that an attempt failed."""
        if not self._lines_about(request).allows():
            return
        logs.write(
            events.AttemptFailed(
                request_id=request.request_id,
                route=request.route.name,
                service=request.service,
                repeatable=request.route.is_idempotent,
                choice=choice,
                what=what,
                taken_ms=_ms(taken_s),
            ),
        )

    def log_relayed(
        self,
        request: caller_request.CallerRequest,
        peer: ids.InstanceId,
        outcome: str,
        taken_s: float,
    ) -> None:
        """Log how an attempt by a peer ended."""
        if not self._lines_about(request).allows():
            return
        logs.write(
            events.RequestRelayed(
                request_id=request.request_id,
                route=request.route.name,
                service=request.service,
                peer=peer,
                outcome=outcome,
                attempt=request.attempts,
                taken_ms=_ms(taken_s),
                left_ms=_ms(request.left_s(self._clock)),
            ),
        )

    def log_loss(
        self,
        request: caller_request.CallerRequest,
        record: target_record.TargetRecord,
        loss: losses.Loss,
    ) -> None:
        """Log whether a lost connection counts against its request."""
        if not self._lines_about(request).allows():
            return
        logs.write(
            events.ConnectionLost(
                request_id=request.request_id,
                service=request.service,
                target=record.listed.target_id,
                fingerprint=f'{request.fingerprint:016x}',
                verdict=loss.verdict,
                marked_targets=loss.marked_targets,
                other_losses=loss.other_losses,
            ),
        )

    def log_retry_wait(
        self,
        request: caller_request.CallerRequest,
        retries: service_retries.ServiceRetries,
        waited_s: float,
        error: str,
    ) -> None:
        """Log that a request waited for retry budget."""
        if not self._lines_about(request).allows():
            return
        logs.write(
            events.RetryWaited(
                request_id=request.request_id,
                route=request.route.name,
                service=request.service,
                priority=request.priority,
                error=error,
                waited_ms=_ms(waited_s),
                left_ms=_ms(request.left_s(self._clock)),
                budget_left=round(retries.budget.available(), 1),
                accepted_share=round(retries.accepted_share(), 2),
                waiting=len(retries.queue),
            ),
        )

    def log_retry_budgets(self) -> None:
        """Log for each service what was spent of its retry budget, if any."""
        now_s = self._clock.monotonic_s()
        for pool in self._services.pools():
            budget = pool.retry_budget
            use = _BudgetUse(now_s, budget.granted, budget.requested)
            last = self._logged_use.get(pool.name, self._no_use)
            if use.attempts == last.attempts:
                continue
            self._logged_use[pool.name] = use
            logs.write(
                events.RetryBudgetUsed(
                    service=pool.name,
                    attempts=use.attempts - last.attempts,
                    requests=use.requests - last.requests,
                    period_ms=_ms(now_s - last.counted_s),
                    budget_left=round(budget.available(), 1),
                ),
            )

    def log_ended(
        self,
        request_id: str,
        request: caller_request.CallerRequest | None,
        end: RequestEnd,
    ) -> None:
        """Log how a request ended, unless its first attempt was answered."""
        is_plain = end.outcome is events.Outcome.ANSWERED
        if request is not None and is_plain and request.attempts == 1:
            return
        if self._lines_about(request).allows():
            logs.write(self._ended_line(request_id, request, end))

    def log_dropped(self) -> None:
        """Log how many lines were dropped since the last call, if any."""
        sent = self._attempt_lines.pop_dropped_count()
        failed = self._failure_lines.pop_dropped_count()
        once = self._once_lines.pop_dropped_count()
        if sent or failed or once:
            logs.write(events.LinesDropped(sent=sent, failed=failed, once=once))

    def _lines_about(
        self, request: caller_request.CallerRequest | None
    ) -> line_budget.LineBudget:
        """Return the limit for lines about what became of ``request``."""
        if request is None or not request.attempts:
            return self._failure_lines
        if request.route.is_idempotent:
            return self._failure_lines
        return self._once_lines

    def _attempt_line(
        self,
        request: caller_request.CallerRequest,
        choice: events.Choice,
        now_s: float,
    ) -> events.RequestSent:
        version, revision = self._services.versions()
        return events.RequestSent(
            request_id=request.request_id,
            route=request.route.name,
            service=request.service,
            repeatable=request.route.is_idempotent,
            choice=choice,
            waited_ms=_ms(now_s - request.arrived_s),
            left_ms=_ms(request.left_s(self._clock)),
            configuration_version=version,
            targets_revision=revision,
            targets_age_ms=self._services.targets_age_ms(),
        )

    def _ended_line(
        self,
        request_id: str,
        request: caller_request.CallerRequest | None,
        end: RequestEnd,
    ) -> events.RequestEnded:
        now_s = self._clock.monotonic_s()
        version, revision = self._services.versions()
        targets, with_room = self._target_counts(request, now_s)
        return events.RequestEnded(
            request_id=request_id,
            customer=_customer_name(request),
            route=request.route.name if request else '',
            service=request.service if request else '',
            outcome=end.outcome,
            status=end.status,
            error=end.error,
            what=end.what,
            repeatable=request is None or request.route.is_idempotent,
            attempts=request.attempts if request else 0,
            taken_ms=_ms(now_s - request.arrived_s) if request else 0,
            targets=targets,
            with_room=with_room,
            configuration_version=version,
            targets_revision=revision,
            history=tuple(request.history) if request else (),
        )

    def _target_counts(
        self, request: caller_request.CallerRequest | None, now_s: float
    ) -> tuple[int, int]:
        if request is None:
            return 0, 0
        records = self._services.pool(request.service).targets.records()
        return len(records), sum(
            record.has_free_slot(now_s) for record in records
        )


def _customer_name(request: caller_request.CallerRequest | None) -> str:
    return request.customer.name if request and request.customer else ''


def _budget(clock: clocks.Clock, per_s: float) -> line_budget.LineBudget:
    return line_budget.LineBudget(clock, per_s, int(per_s * _BURST_S))


def _ms(seconds: float) -> int:
    return round(seconds * _MS_PER_S)
