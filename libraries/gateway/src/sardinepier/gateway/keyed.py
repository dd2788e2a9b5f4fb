"""Non-idempotent requests: run at their home only, once, and recorded."""

import asyncio
from typing import Final

from aiohttp import web_request, web_response

from sardinepier.core import errors as core_errors
from sardinepier.core import outcomes
from sardinepier.gateway import context as contexts
from sardinepier.gateway import (
    caller_request,
    delivery,
    errors,
    forwarding,
    headers,
    problem_table,
    relaying,
)
from sardinepier.gateway import refusals as refused
from sardinepier.gateway import target_answer as target_answers
from sardinepier.once import answers, records, tickets
from sardinepier.once import errors as once_errors

_NOT_RUN: Final = outcomes.Outcome.NOT_RUN
_RETRY_AFTER_S: Final = 1.0


class KeyedPath:
    """Runs non-idempotent requests whose home this daemon is."""

    def __init__(
        self,
        context: contexts.GatewayContext,
        forward: forwarding.Forwarding,
    ) -> None:
        """Work with the daemon's collaborators."""
        self._context = context
        self._forwarding = forward
        self._relaying = relaying.Relaying(context)
        self._running: set[asyncio.Task[web_response.StreamResponse]] = set()

    async def handle(
        self,
        request: web_request.BaseRequest,
        item: caller_request.CallerRequest,
    ) -> web_response.StreamResponse:
        """Run, join, repeat or pass on the request that ``item`` is."""
        key = _key(request)
        home = key.ticket.home
        if home != self._context.own and headers.RELAYED not in request.headers:
            return await self._relaying.relay(request, item, home)
        claim = self._context.ledger.begin(key, item.caller, item.fingerprint)
        if isinstance(claim, records.Granted):
            return await self._start(request, item, claim.record)
        if isinstance(claim, records.Answered):
            return _repeat(claim.answer)
        return _repeat(await claim.record.wait(item.deadline_s))

    async def _start(
        self,
        request: web_request.BaseRequest,
        item: caller_request.CallerRequest,
        record: records.Record,
    ) -> web_response.StreamResponse:
        # The request goes on to its end in a task of its own, even when the
        # caller hangs up: its resend must find out what became of it.
        task = asyncio.ensure_future(self._run(request, item, record))
        self._running.add(task)
        task.add_done_callback(self._finished)
        return await asyncio.shield(task)

    def _finished(
        self,
        task: 'asyncio.Task[web_response.StreamResponse]',
    ) -> None:
        self._running.discard(task)
        if not task.cancelled():
            # Looked at here, because nobody may be waiting any more.
            task.exception()

    async def _run(
        self,
        request: web_request.BaseRequest,
        item: caller_request.CallerRequest,
        record: records.Record,
    ) -> web_response.StreamResponse:
        with self._context.activity:
            try:
                return await self._run_recorded(request, item, record)
            except core_errors.SardinepierError as error:
                _settle(record, error)
                raise
            except BaseException as error:
                record.mark_unknown(
                    f'The daemon failed: {type(error).__name__}'
                )
                raise

    async def _run_recorded(
        self,
        request: web_request.BaseRequest,
        item: caller_request.CallerRequest,
        record: records.Record,
    ) -> web_response.StreamResponse:
        answer = await self._forwarding.forward(item)
        if answer.remainder is not None:
            return await self._stream(request, item, record, answer)
        record.complete(_kept(answer))
        return delivery.whole(
            answer.status,
            answer.reason,
            answer.headers,
            answer.body,
        )

    async def _stream(
        self,
        request: web_request.BaseRequest,
        item: caller_request.CallerRequest,
        record: records.Record,
        answer: target_answers.TargetAnswer,
    ) -> web_response.StreamResponse:
        stream = delivery.Stream(
            self._context,
            request,
            answer,
            item.deadline_s,
        )
        assert answer.remainder is not None  # noqa: S101 - the caller checked it
        await stream.send(answer.remainder)
        record.complete(
            answers.RecordedAnswer(answer.status, answer.headers, None),
        )
        return stream.response


def _key(request: web_request.BaseRequest) -> tickets.RequestKey:
    found = request.headers.getall(headers.IDEMPOTENCY_KEY, [])
    if not found:
        raise refused.KeyRequiredError(
            'The route is not idempotent and the request has no '
            f'{headers.IDEMPOTENCY_KEY} header',
            'Add the header: a ticket, a full stop and a part of your own, '
            'which is new for each new request',
        )
    if len(found) > 1:
        raise once_errors.BadKeyError(
            f'The request has several {headers.IDEMPOTENCY_KEY} headers',
            'Send one',
        )
    return tickets.parse_key(found[0])


def _settle(
    record: records.Record,
    error: core_errors.SardinepierError,
) -> None:
    if problem_table.kind_of(error).outcome is _NOT_RUN:
        record.release_not_run()
    else:
        record.mark_unknown(error.what)


def _kept(answer: target_answers.TargetAnswer) -> answers.RecordedAnswer:
    return answers.RecordedAnswer(answer.status, answer.headers, answer.body)


def _repeat(settlement: answers.Settlement) -> web_response.Response:
    """Return the same answer as the first send of the key got."""
    if isinstance(settlement, answers.RecordedAnswer):
        return delivery.recorded(settlement)
    if isinstance(settlement, answers.UnknownFate):
        raise errors.RecordedUnknownError(
            f'An earlier send ended so: {settlement.problem}',
            'Find out by other means whether the request ran',
        )
    raise refused.ReleasedError(
        'An earlier send of this key ended without having run',
        'Send the request again with the same key',
        _RETRY_AFTER_S,
    )
