"""One attempt at one target, from its first byte to the end of the answer."""

import asyncio
import contextlib
import http
from typing import Final

from aiohttp import client_reqrep

from sardinepier.entry import (
    answers,
    context,
    events,
    service_pool,
    target_record,
)
from sardinepier.entry import caller_request
from sardinepier.gateway import connections, errors, statements

_CONNECT_S: Final = 0.35
"""A connection within a region takes a few milliseconds. One that takes this
long goes to a dead instance or over a link that loses packets, and nothing
was sent, so that another target may get the request."""

_MS_PER_S: Final = 1000
_OK: Final = 'ok'
_FAILURE: Final = 'target_failed'
_NOT_TO_BLAME: Final = (errors.TargetLeftError, errors.TargetRestsError)


class Attempt:
    """One attempt of ``item`` at the target whose slot is reserved."""

    def __init__(
        self,
        shared: context.EntryContext,
        item: caller_request.CallerRequest,
        pool: service_pool.ServicePool,
        record: target_record.TargetRecord,
        *,
        is_hedge: bool,
    ) -> None:
        """Take over the reserved slot.

        ``is_hedge`` says that another attempt of ``item`` is still open.
        """
        self._shared = shared
        self._item = item
        self._pool = pool
        self._record = record
        self._number = pool.started(record)
        self._started_s = shared.clock.monotonic_s()
        self._is_sent = False
        reason = _reason(item, record, is_hedge=is_hedge)
        shared.metrics.attempt_begun(item.service, reason)
        item.attempts += 1
        self._choice = shared.decision_log.log_attempt(
            item,
            record,
            reason,
            pool.typical_latency_s,
        )

    async def run(self) -> answers.Answer:
        """Return the target's answer, and tell the pool how it went.

        Raises a subclass of ``ProvedNotRunError`` or ``UnknownFateError``.
        """
        with contextlib.ExitStack() as slot:
            slot.callback(self._pool.finished, self._record, self._number)
            try:
                answer = await self._within_deadline()
            except errors.GatewayError as error:
                self._blame(error)
                self._failed_by(type(error).__name__, error.what)
                raise
            except asyncio.CancelledError:
                self._given_up()
                raise
            self._judge(answer)
            if answer.stream is not None:
                # The target works on it until its last byte is out.
                answer.stream.ending = slot.pop_all()
        return answer

    def _judge(self, answer: answers.Answer) -> None:
        taken_s = self._taken_s()
        if answer.is_good:
            self._pool.answered(self._record, taken_s, len(answer.body))
            self._shared.metrics.attempt_ended(
                self._item.service,
                _OK,
                taken_s,
            )
        else:
            self._pool.failed(self._record, taken_s)
            self._failed_by(_FAILURE, f'answered {answer.status}')

    async def _within_deadline(self) -> answers.Answer:
        try:
            async with asyncio.timeout(self._item.left_s(self._shared.clock)):
                return await self._exchange()
        except TimeoutError as error:
            if not self._is_sent:
                self._item.require_time_left(self._shared.clock)
            raise errors.AnswerOverdueError(
                'The target did not answer before the time ran out',
                'Find out whether the request ran before sending it anew',
            ) from error

    async def _exchange(self) -> answers.Answer:
        response = await self._shared.client.open(
            self._item.method,
            self._record.url,
            self._headers(),
            self._item.body,
            fresh=False,
            connect_timeout_s=_CONNECT_S,
            permit=self._permit,
            path=self._item.path,
            expects=connections.Expectation(
                self._accepts,
                self._record.known_since_s,
            ),
        )
        self._record.mark_reachable()
        self._hear(response)
        try:
            answer = await answers.read(
                response,
                self._shared.names,
                self._shared.buffer_budget.answer_limit_bytes(),
                self._read_until_s(),
            )
        except BaseException:
            response.close()
            raise
        self._shared.buffer_budget.charge(answer, len(answer.body))
        return answer

    def _read_until_s(self) -> float:
        """Return when the caller gives up, as a time of the event loop."""
        left_s = self._item.caller_deadline_s - self._shared.clock.monotonic_s()
        return asyncio.get_running_loop().time() + left_s

    def _headers(self) -> list[tuple[str, str]]:
        names = self._shared.names
        item = self._item
        left_s = item.caller_deadline_s - self._shared.clock.monotonic_s()
        return [
            *item.headers,
            (names.attempt_id, item.request_id),
            (names.deadline_ms, str(max(1, int(left_s * _MS_PER_S)))),
            (names.expected_target, self._record.listed.stable_name),
        ]

    def _permit(self) -> None:
        """Allow the first byte, unless time ran out or the target wants nothing.

        Since it was chosen a connection was made, which takes up to a third
        of a second, and longer on a busy instance: of the two seconds that
        the users allow from a target's leaving to its last request.
        """
        self._item.require_time_left(self._shared.clock)
        self._pool.targets.require_accepting(self._record)
        self._shared.quarantine.raise_if_quarantined(self._item.fingerprint)
        self._is_sent = True
        self._item.was_sent = True

    def _accepts(self, headers: 'answers.Headers') -> bool:
        """Tell whether an answer is the one to this request."""
        echoed = headers.get(self._shared.names.attempt_id)
        return echoed is None or echoed == self._item.request_id

    def _hear(self, response: client_reqrep.ClientResponse) -> None:
        """Take in what the target says of itself, whatever it answered.

        An answer 421 is that of another target at the same address.
        """
        if response.status == http.HTTPStatus.MISDIRECTED_REQUEST:
            return
        shared = self._shared
        load = answers.reported_load(response, shared.names)
        if load is not None:
            self._record.record_load(
                load.running,
                load.waiting,
                shared.clock.monotonic_s(),
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
                self._item, self._record, statement
            )

    def _blame(self, error: errors.GatewayError) -> None:
        """Take in what an attempt without an answer says of the target."""
        if isinstance(error, answers.OtherTargetError):
            self._pool.targets.remove(self._record.listed.target_id)
        elif isinstance(error, errors.ShedError):
            self._pool.mark_full(self._record)
        elif isinstance(error, _NOT_TO_BLAME):
            return
        elif isinstance(error, errors.AnswerOverdueError):
            self._overdue()
        else:
            self._failed(error)

    def _failed(self, error: errors.GatewayError) -> None:
        if isinstance(error, errors.ConnectTimeoutError):
            self._record.mark_unreachable(self._shared.clock.monotonic_s())
        else:
            self._pool.failed(self._record, self._taken_s())

    def _given_up(self) -> None:
        if self._is_sent:
            self._pool.failed(
                self._record,
                self._taken_s(),
                is_given_up=True,
            )

    def _overdue(self) -> None:
        """Blame the target for a timeout only when it took overlong.

        A route may allow less time than its work usually takes.
        """
        taken_s = self._taken_s()
        if target_record.is_hang(taken_s, self._pool.typical_latency_s):
            self._pool.failed(self._record, 0)

    def _failed_by(self, how: str, what: str) -> None:
        taken_s = self._taken_s()
        self._shared.metrics.attempt_ended(self._item.service, how, taken_s)
        self._shared.decision_log.log_attempt_failed(
            self._item,
            self._choice,
            f'{how}: {what}',
            taken_s,
        )

    def _taken_s(self) -> float:
        return self._shared.clock.monotonic_s() - self._started_s


def _reason(
    item: caller_request.CallerRequest,
    record: target_record.TargetRecord,
    *,
    is_hedge: bool,
) -> events.Reason:
    if is_hedge:
        return events.Reason.BESIDE
    if item.attempts:
        return events.Reason.AGAIN
    return events.Reason.TURN if record.is_exploration else events.Reason.FIRST
