"""The way of each request through the daemon, from head to answer."""

import asyncio

from aiohttp import web_request, web_response

from sardinepier.core import errors as core_errors
from sardinepier.entry import (
    outcome_recorder,
    answers,
    caller_server,
    context,
    forwarding,
    request_reader,
    refusals,
    responses,
)
from sardinepier.entry import caller_request
from sardinepier.telemetry import logs


class Pipeline:
    """Answers the requests of callers."""

    def __init__(self, shared: context.EntryContext) -> None:
        """Work with the daemon's collaborators."""
        self._shared = shared
        self._intake = request_reader.RequestReader(shared)
        self._forwarding = forwarding.Forwarding(shared)
        self._abandoned: set[asyncio.Task[answers.Answer]] = set()

    async def handle(
        self,
        request: web_request.BaseRequest,
    ) -> web_response.StreamResponse:
        """Return the answer to a request."""
        early = caller_server.pipelined_response(request)
        if early is None:
            response = await self._counted(request)
        else:
            response = await early
        if self._shared.activity.is_draining:
            response.force_close()
        return response

    def start_pipelined(
        self,
        request: web_request.BaseRequest,
    ) -> 'asyncio.Task[web_response.StreamResponse] | None':
        """Begin an idempotent request that waits behind others.

        One that isn't idempotent has to wait: if its connection closes
        before its turn, its caller takes it for one that was never read.
        """
        if not self._intake.is_idempotent(request):
            return None
        return asyncio.create_task(self._counted(request))

    async def _counted(
        self,
        request: web_request.BaseRequest,
    ) -> web_response.StreamResponse:
        with self._shared.activity:
            return await self._answer(request)

    async def _answer(
        self,
        request: web_request.BaseRequest,
    ) -> web_response.StreamResponse:
        account = outcome_recorder.OutcomeRecorder(self._shared, request)
        try:
            account.item = await self._intake.read(request)
            answer = await self._within_limit(account.item)
        except core_errors.SardinepierError as error:
            account.refused(error)
            return responses.from_error(error)
        except asyncio.CancelledError:
            account.abandoned()
            raise
        except Exception as error:  # noqa: BLE001 - the last resort
            logs.failure('request-failed', error, level=logs.Level.ERROR)
            internal = refusals.InternalError(
                f'The daemon failed: {type(error).__name__}',
                'Find out whether the request ran before sending it anew',
            )
            account.refused(internal)
            return responses.from_error(internal)
        account.answered(answer)
        return responses.from_target(answer)

    async def _within_limit(
        self, item: caller_request.CallerRequest
    ) -> answers.Answer:
        """Forward a request that its customer's limit allows.

        One that has not run doesn't count. Raises ``RateLimitError``.
        """
        if item.customer is None:
            return await self._forward(item)
        limits = self._shared.services.limits
        wait_s = limits.take(item.customer.name)
        if wait_s:
            self._shared.services.pool(item.service).refused()
            raise refusals.RateLimitError(
                f'Customer {item.customer.name} has reached its limit',
                'Send it again after the stated time',
                wait_s,
            )
        try:
            return await self._forward(item)
        except (refusals.NotRunError, asyncio.CancelledError) as error:
            is_refused = isinstance(error, refusals.NotRunError)
            if is_refused or not item.attempts:
                limits.refund(item.customer.name)
            raise

    async def _forward(
        self, item: caller_request.CallerRequest
    ) -> answers.Answer:
        """Forward a request; a hang-up ends what may be ended.

        An idempotent request ends with its caller. One that isn't goes on
        once a target has it: to cut it would leave its fate unknown.
        """
        if item.route.is_idempotent:
            return await self._forwarding.forward(item)
        task = asyncio.create_task(self._forwarding.forward(item))
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            item.is_abandoned = True
            if item.was_sent:
                self._abandoned.add(task)
                task.add_done_callback(self._abandoned_ended)
            else:
                task.cancel()
            raise

    def _abandoned_ended(self, task: 'asyncio.Task[answers.Answer]') -> None:
        self._abandoned.discard(task)
        if task.cancelled():
            return
        if task.exception() is None:
            task.result().close()
        else:
            logs.event('abandoned-failed', str(task.exception()))
