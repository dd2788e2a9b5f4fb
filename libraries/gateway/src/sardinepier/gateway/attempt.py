"""One attempt at one target, from its first byte to the end of the answer.

Whatever happens, it ends in one way that health is told of, and the slot is
given back once.
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
    statements,
    target_answer,
)
from sardinepier.health import evidence, targets
from sardinepier.telemetry import target_events

_MS_PER_S: Final = 1000
_RETRY_AFTER_S: Final = 0.2
"""Another target is free by then, unless all are leaving."""

_FIRST_FAILURE_STATUS: Final = 500

_ENDS: Final = (
    (errors.ShedError, evidence.AttemptOutcome.SHED),
    (errors.ConnectFailedError, evidence.AttemptOutcome.CONNECT_FAILED),
    (errors.ConnectionLostError, evidence.AttemptOutcome.CONNECTION_LOST),
    (errors.BadAnswerError, evidence.AttemptOutcome.WRONG),
    (errors.AnswerOverdueError, evidence.AttemptOutcome.TIMED_OUT),
)


@dataclasses.dataclass(frozen=True, slots=True)
class _StatementNames:
    """The headers that the service's file names."""

    leaving: str
    limit: str


class Attempt:
    """One attempt of ``item`` at the target whose slot is reserved."""

    def __init__(
        self,
        context: contexts.GatewayContext,
        item: caller_request.CallerRequest,
        target_id: ids.TargetId,
    ) -> None:
        """Take over the reserved slot."""
        self._context = context
        self._item = item
        self._target_id = target_id
        self._number = item.runtime.next_attempt()
        self._started_s = context.clock.monotonic_s()
        self._is_sent = False
        self._is_open = True

    async def run(self) -> target_answer.TargetAnswer:
        """Return the target's answer.

        A subclass of ``ProvedNotRunError`` or ``UnknownFateError`` tells
        what is known when there is none.
        """
        item = self._item
        item.runtime.health.started(
            self._target_id,
            item.route.name,
            self._number,
        )
        try:
            answer = await self._within_deadline()
        except BaseException as error:
            self._end_by(error)
            raise
        if answer.remainder is None:
            self._answered(answer.status)
        return answer

    async def _within_deadline(self) -> target_answer.TargetAnswer:
        left_s = self._item.deadline_s - self._context.clock.monotonic_s()
        try:
            async with asyncio.timeout(max(0.0, left_s)):
                return await self._exchange()
        except TimeoutError as error:
            if not self._is_sent:
                self._item.require_time_left(self._context.clock)
            raise errors.AnswerOverdueError(
                'The target did not answer before the time ran out',
                'Find out whether the request ran before sending it anew',
            ) from error

    async def _exchange(self) -> target_answer.TargetAnswer:
        item = self._item
        settings = item.snapshot.settings
        response = await self._context.client.open(
            item.method,
            item.snapshot.url(self._target_id),
            item.target_headers(self._context.clock),
            item.body,
            fresh=not item.route.idempotent,
            connect_timeout_s=item.snapshot.connect_timeout_s,
            permit=self._permit,
            path=item.target_path,
        )
        if settings.draining_header in response.headers:
            item.runtime.mark_leaving(self._target_id)
        self._hear(response)
        answer_reader.refuse_shed(
            response,
            settings.shed_reply,
            item.runtime.statements.retry_after_s(
                item.runtime.health.selectable(),
            ),
        )
        return await answer_reader.read(response, item, self._rest_ended)

    def _hear(self, response: client_reqrep.ClientResponse) -> None:
        """Take in what the target says of itself, whatever it answered."""
        settings = self._item.snapshot.settings
        self._item.runtime.statements.apply(
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
        """Allow the first byte, unless time or a pause came between.

        Nor does a target get it that began to leave while a connection to
        it was made, or any target what is held back since it was let through.
        """
        self._context.wake_guard.require()
        self._item.require_time_left(self._context.clock)
        self._require_staying()
        self._context.quarantine.raise_if_quarantined(self._item.fingerprint)
        self._is_sent = True

    def _require_staying(self) -> None:
        standing = self._item.runtime.health.standing(self._target_id)
        if standing.state is targets.TargetState.LEAVING:
            raise errors.TargetLeftError(
                f'The target {self._target_id} has just left',
                'Send the request to another one',
                _RETRY_AFTER_S,
            )
        if self._item.runtime.statements.is_backing_off(self._target_id):
            raise errors.TargetRestsError(
                f'The target {self._target_id} asked for rest',
                'Send the request to another one',
                _RETRY_AFTER_S,
            )

    def _answered(self, status: int) -> None:
        runtime = self._item.runtime
        latency_ms = self._latency_ms()
        runtime.slots.answered(self._target_id)
        runtime.queue.observe_service_time(latency_ms / _MS_PER_S)
        if status >= _FIRST_FAILURE_STATUS:
            self._context.quarantine.released(self._item.fingerprint)
            self._end(evidence.AttemptOutcome.FAILED, None)
            return
        runtime.lost_connections.answered(self._target_id)
        runtime.hedge_delay(self._item.route.name).observe(latency_ms)
        self._note_good_answer()
        self._end(evidence.AttemptOutcome.ANSWERED, latency_ms)

    def _note_good_answer(self) -> None:
        self._context.quarantine.answered(
            self._item.fingerprint,
            self._target_id,
        )

    def _rest_ended(self, error: BaseException | None) -> None:
        """Take in how the rest of a long answer ended."""
        if error is None:
            self._note_good_answer()
            self._end(evidence.AttemptOutcome.ANSWERED, None)
        else:
            self._end_by(error)

    def _end_by(self, error: BaseException) -> None:
        end = _end_of(error)
        if end is evidence.AttemptOutcome.CONNECTION_LOST:
            end = self._suspect_crash()
        else:
            self._context.quarantine.released(self._item.fingerprint)
        if isinstance(error, errors.ShedError):
            self._item.runtime.slots.shed(self._target_id)
        self._end(end, None)

    def _suspect_crash(self) -> evidence.AttemptOutcome:
        quarantine = self._context.quarantine
        held = quarantine.crashed(
            self._item.fingerprint,
            self._target_id,
            self._item.runtime.record_lost_connection(
                self._target_id,
                is_earlier_loss_explained=quarantine.has_suspect_request_on(
                    self._target_id,
                ),
            ),
        )
        if not held:
            return evidence.AttemptOutcome.CONNECTION_LOST
        self._tell_of_quarantine()
        return evidence.AttemptOutcome.CRASH_SUSPECT

    def _tell_of_quarantine(self) -> None:
        item = self._item
        for mark in self._context.quarantine.quarantined():
            if mark.fingerprint == item.fingerprint:
                self._context.record_event(
                    target_events.FingerprintQuarantined(
                        item.snapshot.settings.name,
                        f'{mark.fingerprint:016x}',
                        mark.targets,
                        mark.remaining_s,
                    ),
                )

    def _end(
        self,
        end: evidence.AttemptOutcome,
        latency_ms: float | None,
    ) -> None:
        if not self._is_open:
            return
        self._is_open = False
        item = self._item
        item.runtime.health.finished(
            self._target_id,
            item.route.name,
            self._number,
            end,
            latency_ms,
        )
        item.runtime.release(self._target_id)

    def _latency_ms(self) -> float:
        taken_s = self._context.clock.monotonic_s() - self._started_s
        return taken_s * _MS_PER_S


def _end_of(error: BaseException) -> evidence.AttemptOutcome:
    for kind, end in _ENDS:
        if isinstance(error, kind):
            return end
    return evidence.AttemptOutcome.CANCELLED
