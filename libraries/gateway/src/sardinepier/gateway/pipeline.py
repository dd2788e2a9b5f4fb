"""The way of each request through the daemon, from head to answer."""

import asyncio
from typing import Final

from aiohttp import web_request, web_response

from sardinepier.core import errors as core_errors
from sardinepier.core import ids, outcomes
from sardinepier.gateway import activity as activities
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
from sardinepier.gateway import caller_request
from sardinepier.once import errors as once_errors
from sardinepier.once import tickets
from sardinepier.telemetry import logs

_NEEDS_TICKET: Final = (
    refused.KeyRequiredError,
    once_errors.BadKeyError,
    once_errors.FutureTicketError,
)
_UNSTATED_BODY_BYTES: Final = 1_048_576
_UNKNOWN_SERVICE: Final = '-'


class Pipeline:
    """Answers the requests of callers to services."""

    def __init__(self, context: contexts.GatewayContext) -> None:
        """Work with the daemon's collaborators."""
        self._context = context
        self._intake = request_reader.RequestReader(context)
        self._records = request_metrics.RequestMetrics(context.metrics)
        self._forwarding = forwarding.Forwarding(context)
        self._keyed = keyed.KeyedPath(context, self._forwarding)

    async def handle(
        self,
        request: web_request.BaseRequest,
    ) -> web_response.StreamResponse:
        """Return the answer to a request; never raises but for a cut."""
        started_s = self._context.clock.monotonic_s()
        service = _UNKNOWN_SERVICE
        with self._context.activity:
            try:
                with self._context.activity.reserve_body_memory(
                    _body_bytes(request)
                ):
                    item = await self._intake.read(request)
                    service = item.snapshot.settings.name
                    response = await self._answer(request, item)
            except asyncio.CancelledError:
                self._records.count(service, 'caller-gone')
                raise
            except Exception as error:  # noqa: BLE001 - the last resort
                response = self._problem(request, service, error)
            if self._context.activity.is_draining:
                response.force_close()
        taken_s = self._context.clock.monotonic_s() - started_s
        self._records.took(service, taken_s)
        self._records.count(service, response.headers[headers.OUTCOME])
        return response

    async def _answer(
        self,
        request: web_request.BaseRequest,
        item: caller_request.CallerRequest,
    ) -> web_response.StreamResponse:
        if not item.route.idempotent:
            return await self._keyed.handle(request, item)
        answer = await self._forwarding.forward(item)
        if answer.remainder is None and not answer.body:
            return delivery.empty(answer)
        if answer.remainder is None:
            return delivery.whole(
                answer.status,
                answer.reason,
                answer.headers,
                answer.body,
            )
        stream = delivery.Stream(
            self._context,
            request,
            answer,
            item.deadline_s,
        )
        await stream.send(answer.remainder)
        return stream.response

    def _problem(
        self,
        request: web_request.BaseRequest,
        service: str,
        error: Exception,
    ) -> web_response.Response:
        if not isinstance(error, core_errors.SardinepierError):
            logs.failure('request-failed', error, level=logs.Level.ERROR)
            error = errors.InternalError(
                f'The daemon failed: {type(error).__name__}',
                'Find out whether the request ran before sending it anew',
            )
        kind = problem_table.kind_of(error)
        self._context.refusals.record(service, kind.name)
        outcome = kind.outcome
        if outcome is outcomes.Outcome.NOT_RUN and not self._is_proved(request):
            outcome = outcomes.Outcome.UNKNOWN
        return problems.answer(
            error,
            request.raw_path,
            outcome=outcome,
            ticket=self._ticket(error),
        )

    def _is_proved(self, request: web_request.BaseRequest) -> bool:
        """Tell whether no earlier send of the same key may have run.

        This send did not run. But a caller that asks again after an unknown
        fate wants to know about its key, so ``not-run`` must hold for that.
        """
        found = request.headers.getall(headers.IDEMPOTENCY_KEY, ())
        configuration = self._context.configuration()
        if len(found) != 1 or configuration is None:
            return not found
        try:
            key = tickets.parse_key(found[0])
        except once_errors.BadKeyError:
            return True
        caller = request.headers.get(configuration.fleet.caller_header, '')
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


def _body_bytes(request: web_request.BaseRequest) -> int:
    """Return how much memory to set aside for the body."""
    if not request.body_exists:
        return 0
    stated = request.content_length
    # A larger one is refused for its size, whatever is in hand.
    if stated is None or stated > activities.BODY_MEMORY_BYTES:
        return _UNSTATED_BODY_BYTES
    return stated
