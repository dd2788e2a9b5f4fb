"""The steps of each request in the daemon, from headers to answer."""

import asyncio
from typing import Final

from aiohttp import web_request, web_response

from sardinepier.core import errors as core_errors
from sardinepier.core import ids, outcomes
from sardinepier.gateway import context as contexts
from sardinepier.gateway import (
    delivery,
    errors,
    forwarding,
    headers,
    keyed,
    problem_table,
    problems,
    request_reader,
)
from sardinepier.gateway import refusals as refused
from sardinepier.gateway import request_metrics
from sardinepier.gateway import caller_request, exit_check
from sardinepier.once import errors as once_errors
from sardinepier.once import tickets
from sardinepier.telemetry import logs

_NEEDS_TICKET: Final = (
    refused.KeyRequiredError,
    once_errors.BadKeyError,
    once_errors.FutureTicketError,
)
_UNKNOWN_SERVICE: Final = '-'


class Pipeline:
    """Answers the requests of callers to services."""

    def __init__(self, context: contexts.GatewayContext) -> None:
        """Use the collaborators in ``context``."""
        self._context = context
        self._reader = request_reader.RequestReader(context)
        self._metrics = request_metrics.RequestMetrics(context.metrics)
        self._forwarding = forwarding.Forwarding(context)
        self._keyed = keyed.KeyedPath(context, self._forwarding)

    async def handle(
        self,
        http_request: web_request.BaseRequest,
    ) -> web_response.StreamResponse:
        """Return the answer; raise only if the request is cancelled."""
        started_s = self._context.clock.monotonic_s()
        service = _UNKNOWN_SERVICE
        with self._context.activity:
            try:
                self._context.activity.require_capacity()
                request = await self._reader.read(http_request)
                service = request.snapshot.settings.name
                response = await self._answer(http_request, request)
            except asyncio.CancelledError:
                self._metrics.count(service, 'caller-gone')
                raise
            except Exception as error:  # noqa: BLE001 - answered as a problem
                response = self._problem_response(http_request, service, error)
            if self._context.activity.is_draining:
                response.force_close()
        duration_s = self._context.clock.monotonic_s() - started_s
        self._metrics.record_duration(service, duration_s)
        self._metrics.count(service, response.headers[headers.OUTCOME])
        return response

    async def _answer(
        self,
        http_request: web_request.BaseRequest,
        request: caller_request.CallerRequest,
    ) -> web_response.StreamResponse:
        with request:
            exit_check.require_accepted(self._context, request)
            try:
                async with self._context.activity.until_cut_off():
                    return await self._answer_by_kind(http_request, request)
            except TimeoutError as error:
                raise refused.CutOffByExitError(
                    'The daemon exits while it has the request',
                    'Check whether the request ran before sending it again',
                ) from error

    async def _answer_by_kind(
        self,
        http_request: web_request.BaseRequest,
        request: caller_request.CallerRequest,
    ) -> web_response.StreamResponse:
        if not request.route.idempotent:
            return await self._keyed.handle(http_request, request)
        return await self._forward(http_request, request)

    async def _forward(
        self,
        http_request: web_request.BaseRequest,
        request: caller_request.CallerRequest,
    ) -> web_response.StreamResponse:
        answer = await self._forwarding.forward(request)
        if answer.remainder is None:
            return delivery.whole_response(answer)
        stream = delivery.Stream(
            self._context,
            http_request,
            answer,
            request.deadline_s,
        )
        await stream.send(answer.remainder)
        return stream.response

    def _problem_response(
        self,
        http_request: web_request.BaseRequest,
        service: str,
        error: Exception,
    ) -> web_response.Response:
        if not isinstance(error, core_errors.SardinepierError):
            logs.failure('request-failed', error, level=logs.Level.ERROR)
            error = errors.InternalError(
                f'The daemon failed: {type(error).__name__}',
                'Check whether the request ran before sending it again',
            )
        kind = problem_table.kind_of(error)
        self._context.refusals.record(service, kind.name)
        outcome = kind.outcome
        if outcome is outcomes.Outcome.NOT_RUN and not self._is_proved_not_run(
            http_request
        ):
            outcome = outcomes.Outcome.UNKNOWN
        return problems.answer(
            error,
            http_request.raw_path,
            outcome=outcome,
            ticket=self._ticket(error),
        )

    def _is_proved_not_run(self, http_request: web_request.BaseRequest) -> bool:
        """Return whether no earlier send of the same key may have run.

        This send did not run. But a caller that resends after an unknown fate
        asks about its key, so ``not-run`` must be true of all its sends.
        """
        lines = http_request.headers.getall(headers.IDEMPOTENCY_KEY, ())
        configuration = self._context.configuration()
        if len(lines) != 1 or configuration is None:
            return not lines
        try:
            key = tickets.parse_key(lines[0])
        except once_errors.BadKeyError:
            return True
        caller = http_request.headers.get(configuration.fleet.caller_header, '')
        return self._context.ledger.never_granted(key, ids.CallerId(caller))

    def _ticket(self, error: Exception) -> str | None:
        context = self._context
        if context.activity.is_draining or not isinstance(error, _NEEDS_TICKET):
            return None
        ticket = tickets.mint(
            context.own,
            context.started_at_s,
            context.ledger.epoch_s,
            context.clock,
            context.random_source,
        )
        return tickets.format_ticket(ticket)
