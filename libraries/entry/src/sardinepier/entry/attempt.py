"""One attempt at one target, from connecting to the end of the answer."""

import asyncio
import contextlib
import functools
import http
from typing import Final

from sardinepier.entry import (
    answers,
    caller_request,
    context,
    events,
    path_check,
    service_pool,
    target_record,
    traffic,
)
from sardinepier.entry import own_answer, send_checks
from sardinepier.gateway import connections, errors, statements, unsent
from sardinepier.health import refusal_estimate

_MS_PER_S: Final = 1000
_OK: Final = 'ok'
_CANCELLED: Final = 'cancelled'
_TARGET_FAILED: Final = 'target_failed'
_NOT_TARGET_FAILURES: Final = (
    unsent.NoDescriptorError,
    errors.TargetLeftError,
    errors.TargetRestsError,
)


class Attempt:
    """One attempt of ``request`` at a target that has a slot reserved for it."""

    def __init__(
        self,
        shared: context.EntryContext,
        request: caller_request.CallerRequest,
        pool: service_pool.ServicePool,
        record: target_record.TargetRecord,
        *,
        is_hedge: bool,
    ) -> None:
        """Take over the reserved slot.

        ``is_hedge`` means that another attempt of ``request`` is in flight.
        """
        self._shared = shared
        self._connectivity = shared.services.connectivity
        self._request = request
        self._pool = pool
        self._record = record
        self._attempt_number = pool.started(record)
        self._started_s = shared.clock.monotonic_s()
        self._is_sent = False
        self._has_foreign_answer = False
        self._shed_cause = refusal_estimate.ShedCause.UNKNOWN
        self._traffic = traffic.AttemptTraffic(
            shared.metrics,
            crosses_zones=record.listed.zone != shared.services.zone,
        )
        self._open_exchange = shared.exchanges.begin(record)
        reason = _reason(request, record, is_hedge=is_hedge)
        shared.metrics.attempt_begun(request.service, reason)
        request.attempts += 1
        self._choice = shared.decision_log.log_attempt(
            request,
            record,
            reason,
            pool.typical_latency_s,
        )

    async def run(self) -> answers.Answer:
        """Return the target's answer, and report the outcome to the pool.

        Raises a subclass of ``ProvedNotRunError`` or ``UnknownFateError``.
        """
        with contextlib.ExitStack() as slot:
            slot.callback(
                self._pool.finished, self._record, self._attempt_number
            )
            slot.callback(self._traffic.ended)
            slot.callback(
                self._shared.metrics.exchange_closed, self._open_exchange
            )
            slot.callback(self._shared.exchanges.close, self._open_exchange)
            try:
                answer = await self._exchange_in_time()
            except errors.GatewayError as error:
                if isinstance(error, errors.ConnectionLostError):
                    await self._connectivity.lost(
                        self._request.service, self._record.listed.target_id
                    )
                if isinstance(error, answers.STATED_NOT_RUN):
                    self._request.prove_not_run()
                self._record_error(error)
                self._report_failure(type(error).__name__, error.what)
                raise
            except asyncio.CancelledError:
                self._record_cancellation()
                self._open_exchange.trace(self._request, _CANCELLED)
                raise
            self._record_outcome(answer)
            if answer.stream is not None:
                # The slot is used until the last byte of the answer was read.
                answer.stream.on_close = slot.pop_all()
        return answer

    def _record_outcome(self, answer: answers.Answer) -> None:
        elapsed_s = self._elapsed_s()
        self._pool.retries.accepted(self._record, self._started_s)
        if answer.is_good:
            self._pool.answered(self._record, elapsed_s, len(answer.body))
            self._open_exchange.trace(self._request, _OK)
            self._shared.metrics.attempt_ended(
                self._request.service,
                _OK,
                elapsed_s,
            )
        else:
            self._pool.failed(self._record, elapsed_s)
            self._report_failure(_TARGET_FAILED, f'answered {answer.status}')

    async def _exchange_in_time(self) -> answers.Answer:
        try:
            async with asyncio.timeout(
                self._request.left_s(self._shared.clock)
            ):
                return await self._exchange()
        except TimeoutError as error:
            if not self._is_sent:
                self._request.require_time_left(self._shared.clock)
            raise errors.AnswerOverdueError(
                'The target did not answer before the deadline',
                'Check whether the request ran before sending it again',
            ) from error

    async def _exchange(self) -> answers.Answer:
        response = await self._shared.client.open(
            self._request.method,
            self._record.url,
            self._headers(),
            self._request.body,
            fresh=self._request.needs_new_connection(self._record.url),
            connect_timeout_s=path_check.CONNECT_TIMEOUT_S,
            permit=self._require_sendable,
            path=self._request.path,
            expects=connections.Expectation(
                self._is_own_answer,
                self._record.known_since_s,
                self._open_exchange.mark_sent,
                functools.partial(
                    self._connectivity.connected, self._request.service
                ),
            ),
        )
        self._traffic.opened(response)
        self._record.mark_reachable()
        self._connectivity.answered(self._request.service)
        own = own_answer.identify(
            response, self._shared.names, self._request.request_id
        )
        self._record_reports(own)
        return await answers.read(
            own,
            self._shared.names,
            self._shared.buffer_budget,
            self._request.caller_loop_deadline_s(self._shared.clock),
        )

    def _headers(self) -> list[tuple[str, str]]:
        names = self._shared.names
        request = self._request
        left_s = request.caller_deadline_s - self._shared.clock.monotonic_s()
        request_ids = [request.request_id] if request.request_id else []
        return [
            *request.headers,
            *((names.attempt_id, request_id) for request_id in request_ids),
            (names.deadline_ms, str(max(1, int(left_s * _MS_PER_S)))),
            (names.expected_target, self._record.listed.stable_name),
        ]

    def _require_sendable(self) -> None:
        """Mark the request as sent, or raise if it must not be sent any more.

        Runs before the first byte. Connecting has taken up to a third of a
        second since the target was chosen, and longer on a busy instance. The
        last request to a leaving target may come at most two seconds after it
        began to leave, so that the target has to be checked again.
        """
        send_checks.require_sendable(self._shared, self._request, self._pool)
        self._pool.targets.require_accepting(self._record)
        self._shared.quarantine.raise_if_quarantined(self._request.fingerprint)
        self._is_sent = True
        self._request.mark_sent()
        self._traffic.sent(self._request)

    def _is_own_answer(self, status: int, headers: own_answer.Headers) -> bool:
        """Return whether an answer is that to this request; log the others."""
        names = self._shared.names
        is_own = own_answer.bears_id(headers, names, self._request.request_id)
        if not is_own and not self._has_foreign_answer:
            self._has_foreign_answer = True
            echoed = headers.get(names.attempt_id, '')
            self._shared.metrics.foreign_answer(
                self._request.service, has_id=bool(echoed)
            )
            self._shared.decision_log.log_foreign_answer(
                self._request, self._choice, status, echoed
            )
        return is_own

    def _record_reports(self, own: own_answer.OwnAnswer) -> None:
        """Record the load and the statement that the target reports.

        These hold for any status but 421, which another target at the same
        address has sent.
        """
        response = own.response
        if response.status == http.HTTPStatus.MISDIRECTED_REQUEST:
            return
        shared = self._shared
        shared.exchanges.record_answer(self._record)
        load = answers.reported_load(own, shared.names)
        if load is not None:
            self._shed_cause = refusal_estimate.shed_cause(
                load.running, load.slots
            )
            self._record.record_load(
                load.running,
                load.waiting,
                shared.clock.monotonic_s(),
                is_failure=(
                    response.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
                ),
            )
        statement = statements.read(
            response.status,
            response.headers,
            shared.names,
            shared.clock,
        )
        self._record.statements.answered(statement)
        is_new = self._pool.targets.apply_statement(
            self._record,
            statement,
            shared.clock.monotonic_s(),
            target_record.ObservationSource.OWN,
        )
        if is_new:
            shared.decision_log.log_statement(
                self._request,
                self._record,
                statement,
            )

    def _record_error(self, error: errors.GatewayError) -> None:
        """Record what an attempt without an answer shows about the target."""
        if isinstance(error, answers.OtherTargetError):
            self._pool.targets.remove(self._record.listed.target_id)
            self._shared.exchanges.record_other_target(self._record)
        elif isinstance(error, errors.ShedError):
            self._pool.retries.shed(self._record, self._shed_cause)
            self._shared.metrics.shed(self._request.service, self._shed_cause)
        elif isinstance(error, _NOT_TARGET_FAILURES):
            return
        elif isinstance(error, errors.AnswerOverdueError):
            self._record_timeout()
        else:
            self._record_failure(error)

    def _record_failure(self, error: errors.GatewayError) -> None:
        if isinstance(error, errors.ConnectFailedError):
            self._request.unreached.add(self._record.listed.target_id)
            self._connectivity.failed(
                self._request.service,
                self._record.listed.target_id,
                len(self._pool.targets.records()),
            )
        is_timeout = isinstance(error, errors.ConnectTimeoutError)
        if is_timeout or self._is_cut_off():
            self._record.mark_unreachable(self._shared.clock.monotonic_s())
            return
        self._open_exchange.record_error(error)
        self._pool.failed(self._record, self._elapsed_s())

    def _record_cancellation(self) -> None:
        if self._is_sent and not self._is_cut_off():
            self._pool.failed(
                self._record,
                self._elapsed_s(),
                is_given_up=True,
            )

    def _record_timeout(self) -> None:
        """Count a timeout as a failure only if the target seems to hang.

        The route's timeout may be shorter than the typical latency.
        """
        elapsed_s = self._elapsed_s()
        if self._is_cut_off():
            return
        if target_record.is_hang(elapsed_s, self._pool.typical_latency_s):
            self._pool.failed(self._record, 0)

    def _is_cut_off(self) -> bool:
        return self._connectivity.is_cut_off(self._request.service)

    def _report_failure(self, kind: str, what: str) -> None:
        elapsed_s = self._elapsed_s()
        self._shared.metrics.attempt_ended(
            self._request.service, kind, elapsed_s
        )
        self._shared.decision_log.log_attempt_failed(
            self._request,
            self._choice,
            f'{kind}: {what}',
            elapsed_s,
        )
        self._open_exchange.trace(self._request, f'{kind}: {what}')

    def _elapsed_s(self) -> float:
        return self._shared.clock.monotonic_s() - self._started_s


def _reason(
    request: caller_request.CallerRequest,
    record: target_record.TargetRecord,
    *,
    is_hedge: bool,
) -> events.Reason:
    if is_hedge:
        return events.Reason.BESIDE
    if request.attempts:
        return events.Reason.AGAIN
    return events.Reason.TURN if record.is_exploration else events.Reason.FIRST
