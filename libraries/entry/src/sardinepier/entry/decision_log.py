"""Log lines about what was decided for a request, and on what grounds.

Attempts are told when they begin, failures and refusals when they come.
Requests that are answered at the first attempt are only counted.
"""

import dataclasses
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.entry import events, service_registry, target_record
from sardinepier.entry import caller_request
from sardinepier.gateway import statements
from sardinepier.telemetry import line_budget, logs

_MS_PER_S: Final = 1000
_NO_LIMIT: Final = -1.0
_SENT_PER_S: Final = 60.0
"""Lines about attempts: a carrier's usual traffic and half as much again. At
forty microseconds each that is a quarter of a hundredth of a processor."""

_FAILED_PER_S: Final = 120.0
_BURST_S: Final = 2.0
"""How long twice as many lines may come as on average."""


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """How a request ended."""

    outcome: events.Outcome
    status: int
    error: str = ''
    what: str = ''


class DecisionLog:
    """Writes the lines of one daemon, within bounds."""

    def __init__(
        self,
        held: service_registry.ServiceRegistry,
        clock: clocks.Clock,
    ) -> None:
        """Tell versions and targets from ``held``."""
        self._held = held
        self._clock = clock
        self._sent = _budget(clock, _SENT_PER_S)
        self._failed = _budget(clock, _FAILED_PER_S)

    def log_attempt(
        self,
        item: caller_request.CallerRequest,
        record: target_record.TargetRecord,
        reason: events.Reason,
        typical_latency_s: float,
    ) -> events.Choice:
        """Tell that an attempt begins, and return what it rests on."""
        now_s = self._clock.monotonic_s()
        choice = events.Choice(
            attempt=item.attempts,
            reason=reason,
            target=record.listed.target_id,
            target_zone=record.listed.zone,
            chance=round(
                record.failure_probability(now_s, typical_latency_s), 3
            ),
            belief_age_ms=_ms(now_s - record.estimate.updated_s),
            belief_source=record.belief_source,
            in_flight=record.in_flight(now_s),
        )
        if self._sent.allows():
            logs.write(self._sent_line(item, choice, now_s), is_routine=True)
        return choice

    def log_statement(
        self,
        item: caller_request.CallerRequest,
        record: target_record.TargetRecord,
        statement: statements.Statement,
    ) -> None:
        """Tell what a target said of itself."""
        if not self._failed.allows():
            return
        rest_s = statement.backoff_until_s - self._clock.monotonic_s()
        logs.write(
            events.TargetStated(
                request_id=item.request_id,
                service=item.service,
                target=record.listed.target_id,
                is_leaving=statement.is_leaving,
                limit_per_s=(
                    _NO_LIMIT
                    if statement.limit_per_s is None
                    else statement.limit_per_s
                ),
                rest_ms=_ms(max(0.0, rest_s)),
            ),
        )

    def log_attempt_failed(
        self,
        item: caller_request.CallerRequest,
        choice: events.Choice,
        what: str,
        taken_s: float,
    ) -> None:
        """Tell that an attempt failed."""
        if not self._failed.allows():
            return
        logs.write(
            events.AttemptFailed(
                request_id=item.request_id,
                route=item.route.name,
                service=item.service,
                repeatable=item.route.is_idempotent,
                choice=choice,
                what=what,
                taken_ms=_ms(taken_s),
            ),
        )

    def log_ended(
        self,
        request_id: str,
        item: caller_request.CallerRequest | None,
        end: End,
    ) -> None:
        """Tell how a request ended, unless it was simply answered."""
        is_plain = end.outcome is events.Outcome.ANSWERED
        if item is not None and is_plain and item.attempts == 1:
            return
        if self._failed.allows():
            logs.write(self._ended_line(request_id, item, end))

    def log_dropped(self) -> None:
        """Tell how many lines were left out since the last call, if any."""
        sent = self._sent.pop_dropped_count()
        failed = self._failed.pop_dropped_count()
        if sent or failed:
            logs.write(events.LinesDropped(sent=sent, failed=failed))

    def _sent_line(
        self,
        item: caller_request.CallerRequest,
        choice: events.Choice,
        now_s: float,
    ) -> events.RequestSent:
        version, revision = self._held.versions()
        return events.RequestSent(
            request_id=item.request_id,
            route=item.route.name,
            service=item.service,
            repeatable=item.route.is_idempotent,
            choice=choice,
            waited_ms=_ms(now_s - item.arrived_s),
            left_ms=_ms(item.left_s(self._clock)),
            configuration_version=version,
            targets_revision=revision,
            targets_age_ms=self._held.targets_age_ms(),
        )

    def _ended_line(
        self,
        request_id: str,
        item: caller_request.CallerRequest | None,
        end: End,
    ) -> events.RequestEnded:
        now_s = self._clock.monotonic_s()
        version, revision = self._held.versions()
        targets, with_room = self._room(item, now_s)
        return events.RequestEnded(
            request_id=request_id,
            customer=_customer_name(item),
            route=item.route.name if item else '',
            service=item.service if item else '',
            outcome=end.outcome,
            status=end.status,
            error=end.error,
            what=end.what,
            attempts=item.attempts if item else 0,
            taken_ms=_ms(now_s - item.arrived_s) if item else 0,
            targets=targets,
            with_room=with_room,
            configuration_version=version,
            targets_revision=revision,
        )

    def _room(
        self, item: caller_request.CallerRequest | None, now_s: float
    ) -> tuple[int, int]:
        if item is None:
            return 0, 0
        records = self._held.pool(item.service).targets.records()
        return len(records), sum(one.has_free_slot(now_s) for one in records)


def _customer_name(item: caller_request.CallerRequest | None) -> str:
    return item.customer.name if item and item.customer else ''


def _budget(clock: clocks.Clock, per_s: float) -> line_budget.LineBudget:
    return line_budget.LineBudget(clock, per_s, int(per_s * _BURST_S))


def _ms(seconds: float) -> int:
    return round(seconds * _MS_PER_S)
