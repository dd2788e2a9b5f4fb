"""Non-idempotent requests, which run once and only at their home daemon."""

import asyncio
import contextlib
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
    """Runs non-idempotent requests, or relays them to their home."""

    def __init__(
        self,
        context: contexts.GatewayContext,
        forward: forwarding.Forwarding,
    ) -> None:
        """Use the collaborators in ``context``."""
        self._context = context
        self._forwarding = forward
        self._relaying = relaying.Relaying(context)
        self._running: set[asyncio.Task[web_response.StreamResponse]] = set()

    async def handle(
        self,
        http_request: web_request.BaseRequest,
        request: caller_request.CallerRequest,
    ) -> web_response.StreamResponse:
        """Run, join or relay ``request``, or return its recorded answer."""
        key = _key(http_request)
        home = key.ticket.home
        if (
            home != self._context.own
            and headers.RELAYED not in http_request.headers
        ):
            return await self._relaying.relay(http_request, request, home)
        claim = self._context.ledger.begin(
            key, request.caller, request.fingerprint
        )
        if isinstance(claim, records.Granted):
            return await self._start(http_request, request, claim.record)
        if isinstance(claim, records.Answered):
            return _response_for(claim.answer)
        return _response_for(await claim.record.wait(request.deadline_s))

    async def _start(
        self,
        http_request: web_request.BaseRequest,
        request: caller_request.CallerRequest,
        record: records.Record,
    ) -> web_response.StreamResponse:
        # A separate task completes the request even if the caller hangs up,
        # because a resend must get its outcome.
        request.is_detached = True
        task = asyncio.ensure_future(self._run(http_request, request, record))
        self._running.add(task)
        task.add_done_callback(self._remove_task)
        return await asyncio.shield(task)

    def _remove_task(
        self,
        task: 'asyncio.Task[web_response.StreamResponse]',
    ) -> None:
        self._running.discard(task)
        if not task.cancelled():
            # Marks the exception as retrieved: the caller may be gone.
            task.exception()

    async def _run(
        self,
        http_request: web_request.BaseRequest,
        request: caller_request.CallerRequest,
        record: records.Record,
    ) -> web_response.StreamResponse:
        with self._context.activity, contextlib.closing(request):
            try:
                return await self._run_recorded(http_request, request, record)
            except core_errors.SardinepierError as error:
                _settle_record(record, error)
                raise
            except BaseException as error:
                record.mark_unknown(
                    f'The daemon failed: {type(error).__name__}'
                )
                raise

    async def _run_recorded(
        self,
        http_request: web_request.BaseRequest,
        request: caller_request.CallerRequest,
        record: records.Record,
    ) -> web_response.StreamResponse:
        answer = await self._forwarding.forward(request)
        if answer.remainder is not None:
            return await self._stream(http_request, request, record, answer)
        record.complete(_recorded_answer(answer))
        return delivery.buffered_response(answer)

    async def _stream(
        self,
        http_request: web_request.BaseRequest,
        request: caller_request.CallerRequest,
        record: records.Record,
        answer: target_answers.TargetAnswer,
    ) -> web_response.StreamResponse:
        stream = delivery.Stream(
            self._context,
            http_request,
            answer,
            request.deadline_s,
        )
        assert answer.remainder is not None  # noqa: S101 - the caller checked it
        await stream.send(answer.remainder)
        record.complete(
            answers.RecordedAnswer(answer.status, answer.headers, None),
        )
        return stream.response


def _key(http_request: web_request.BaseRequest) -> tickets.RequestKey:
    lines = http_request.headers.getall(headers.IDEMPOTENCY_KEY, [])
    if not lines:
        raise refused.KeyRequiredError(
            'The route is not idempotent and the request has no '
            f'{headers.IDEMPOTENCY_KEY} header',
            'Add the header: a ticket, a full stop and a string that is '
            'different for each new request',
        )
    if len(lines) > 1:
        raise once_errors.BadKeyError(
            f'The request has several {headers.IDEMPOTENCY_KEY} headers',
            'Send exactly one',
        )
    return tickets.parse_key(lines[0])


def _settle_record(
    record: records.Record,
    error: core_errors.SardinepierError,
) -> None:
    if problem_table.kind_of(error).outcome is _NOT_RUN:
        record.release_not_run()
    else:
        record.mark_unknown(error.what)


def _recorded_answer(
    answer: target_answers.TargetAnswer,
) -> answers.RecordedAnswer:
    return answers.RecordedAnswer(answer.status, answer.headers, answer.body)


def _response_for(settlement: answers.Settlement) -> web_response.Response:
    """Return the answer that the first send of the key got."""
    if isinstance(settlement, answers.RecordedAnswer):
        return delivery.recorded_response(settlement)
    if isinstance(settlement, answers.UnknownFate):
        raise errors.RecordedUnknownError(
            'An earlier send of this key ended with an unknown outcome: '
            f'{settlement.problem}',
            'Check by other means whether the request ran',
        )
    raise refused.ReleasedError(
        'An earlier send of this key did not run',
        'Send the request again with the same key',
        _RETRY_AFTER_S,
    )
