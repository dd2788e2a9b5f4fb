"""One attempt at one target, from its first byte to the end of the answer.

Each attempt reports exactly one outcome to health and releases its slot
exactly once, however it ends.
"""

import asyncio
import dataclasses
from typing import Final

from aiohttp import client_reqrep

from sardinepier.core import ids
from sardinepier.gateway import context as contexts
from sardinepier.gateway import (
    answer_reader,
    caller_request,
    errors,
    exit_check,
    statements,
    target_answer,
)
from sardinepier.health import evidence, targets
from sardinepier.telemetry import target_events

_MS_PER_S: Final = 1000
_RETRY_AFTER_S: Final = 0.2
"""Another target is usually available by then, unless all are leaving."""

_FIRST_FAILURE_STATUS: Final = 500

_OUTCOMES: Final = (
    (errors.ShedError, evidence.AttemptOutcome.SHED),
    (errors.ConnectFailedError, evidence.AttemptOutcome.CONNECT_FAILED),
    (errors.ConnectionLostError, evidence.AttemptOutcome.CONNECTION_LOST),
    (errors.BadAnswerError, evidence.AttemptOutcome.WRONG),
    (errors.AnswerOverdueError, evidence.AttemptOutcome.TIMED_OUT),
)


@dataclasses.dataclass(frozen=True, slots=True)
class _StatementNames:
    """The names of the statement headers in the service's settings."""

    leaving: str
    limit: str


class Attempt:
    """An attempt of ``request`` at a target with a reserved slot."""

    def __init__(
        self,
        context: contexts.GatewayContext,
        request: caller_request.CallerRequest,
        target_id: ids.TargetId,
    ) -> None:
        """Take ownership of the reserved slot."""
        self._context = context
        self._request = request
        self._target_id = target_id
        self._number = request.runtime.next_attempt()
        self._started_s = context.clock.monotonic_s()
        self._is_sent = False
        self._is_open = True

    async def run(self) -> target_answer.TargetAnswer:
        """Return the target's answer.

        Without an answer, raises a subclass of ``ProvedNotRunError`` or of
        ``UnknownFateError``.
        """
        request = self._request
        request.runtime.health.started(
            self._target_id,
            request.route.name,
            self._number,
        )
        try:
            answer = await self._within_deadline()
        except BaseException as error:
            self._end_with_error(error)
            raise
        if answer.remainder is None:
            self._end_with_answer(answer.status)
        return answer

    async def _within_deadline(self) -> target_answer.TargetAnswer:
        left_s = self._request.deadline_s - self._context.clock.monotonic_s()
        try:
            async with asyncio.timeout(max(0.0, left_s)):
                return await self._exchange()
        except TimeoutError as error:
            if not self._is_sent:
                self._request.require_time_left(self._context.clock)
            raise errors.AnswerOverdueError(
                'The target did not answer before the deadline',
                'Check whether the request ran before sending it again',
            ) from error

    async def _exchange(self) -> target_answer.TargetAnswer:
        request = self._request
        settings = request.snapshot.settings
        response = await self._context.client.open(
            request.method,
            request.snapshot.url(self._target_id),
            request.target_headers(self._context.clock),
            request.body,
            fresh=not request.route.idempotent,
            connect_timeout_s=request.snapshot.connect_timeout_s,
            permit=self._permit,
            path=request.target_path,
        )
        if settings.draining_header in response.headers:
            request.runtime.mark_leaving(self._target_id)
        self._apply_statement(response)
        answer_reader.refuse_shed(
            response,
            settings.shed_reply,
            request.runtime.statements.retry_after_s(
                request.runtime.health.selectable(),
            ),
        )
        return await answer_reader.read(
            response,
            request,
            self._context.buffer_budget,
            self._on_stream_end,
        )

    def _apply_statement(self, response: client_reqrep.ClientResponse) -> None:
        """Apply the statement in the headers, whatever the status."""
        settings = self._request.snapshot.settings
        self._request.runtime.statements.apply(
            self._target_id,
            statements.read(
                response.status,
                response.headers,
                _StatementNames(
                    settings.draining_header,
                    settings.limit_header,
                ),
                self._context.clock,
            ),
        )

    def _permit(self) -> None:
        """Permit the first byte, or raise.

        Refused are requests after a pause or after their deadline, those that
        the exit would cut off, requests to a target that began to leave or to
        back off while the connection was made, and requests that were
        quarantined since their admission.
        """
        self._context.wake_guard.require()
        self._request.require_time_left(self._context.clock)
        exit_check.require_time_to_run(self._context, self._request)
        self._require_accepting()
        self._context.quarantine.raise_if_quarantined(self._request.fingerprint)
        self._is_sent = True

    def _require_accepting(self) -> None:
        standing = self._request.runtime.health.standing(self._target_id)
        if standing.state is targets.TargetState.LEAVING:
            raise errors.TargetLeftError(
                f'The target {self._target_id} began to leave',
                'Send the request to another target',
                _RETRY_AFTER_S,
            )
        if self._request.runtime.statements.is_backing_off(self._target_id):
            raise errors.TargetRestsError(
                f'The target {self._target_id} asked for backoff',
                'Send the request to another target',
                _RETRY_AFTER_S,
            )

    def _end_with_answer(self, status: int) -> None:
        runtime = self._request.runtime
        latency_ms = self._latency_ms()
        runtime.slots.answered(self._target_id)
        runtime.queue.observe_service_time(latency_ms / _MS_PER_S)
        if status >= _FIRST_FAILURE_STATUS:
            self._context.quarantine.released(self._request.fingerprint)
            self._end(evidence.AttemptOutcome.FAILED, None)
            return
        runtime.lost_connections.record_answer(self._target_id)
        runtime.hedge_delay(self._request.route.name).observe(latency_ms)
        self._record_good_answer()
        self._end(evidence.AttemptOutcome.ANSWERED, latency_ms)

    def _record_good_answer(self) -> None:
        self._context.quarantine.answered(
            self._request.fingerprint,
            self._request.snapshot.settings.name,
        )

    def _on_stream_end(self, error: BaseException | None) -> None:
        """Record how the stream of a long answer ended."""
        if error is None:
            self._record_good_answer()
            self._end(evidence.AttemptOutcome.ANSWERED, None)
        else:
            self._end_with_error(error)

    def _end_with_error(self, error: BaseException) -> None:
        outcome = _outcome_of(error)
        is_lost = outcome is evidence.AttemptOutcome.CONNECTION_LOST
        if is_lost and not isinstance(error, errors.TargetGoneError):
            outcome = self._suspect_crash()
        else:
            self._context.quarantine.released(self._request.fingerprint)
        if isinstance(error, errors.ShedError):
            self._request.runtime.slots.shed(self._target_id)
        self._end(outcome, None)

    def _suspect_crash(self) -> evidence.AttemptOutcome:
        quarantine = self._context.quarantine
        loss = quarantine.crashed(
            self._request.fingerprint,
            self._request.snapshot.settings.name,
            self._target_id,
            self._request.runtime.record_lost_connection(
                self._target_id,
                is_earlier_loss_explained=quarantine.has_suspect_request_on(
                    self._target_id,
                ),
            ),
        )
        if not loss.is_quarantined:
            return evidence.AttemptOutcome.CONNECTION_LOST
        self._record_quarantine()
        return evidence.AttemptOutcome.CRASH_SUSPECT

    def _record_quarantine(self) -> None:
        request = self._request
        for mark in self._context.quarantine.quarantined():
            if mark.fingerprint == request.fingerprint:
                self._context.record_event(
                    target_events.FingerprintQuarantined(
                        request.snapshot.settings.name,
                        f'{mark.fingerprint:016x}',
                        mark.targets,
                        mark.remaining_s,
                    ),
                )

    def _end(
        self,
        outcome: evidence.AttemptOutcome,
        latency_ms: float | None,
    ) -> None:
        if not self._is_open:
            return
        self._is_open = False
        request = self._request
        request.runtime.health.finished(
            self._target_id,
            request.route.name,
            self._number,
            outcome,
            latency_ms,
        )
        request.runtime.release(self._target_id)

    def _latency_ms(self) -> float:
        duration_s = self._context.clock.monotonic_s() - self._started_s
        return duration_s * _MS_PER_S


def _outcome_of(error: BaseException) -> evidence.AttemptOutcome:
    for kind, outcome in _OUTCOMES:
        if isinstance(error, kind):
            return outcome
    return evidence.AttemptOutcome.CANCELLED
