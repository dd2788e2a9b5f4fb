"""The request path of a daemon, from reading a request to its response."""

import asyncio
import functools

from aiohttp import web_request, web_response

from sardinepier.core import errors as core_errors
from sardinepier.entry import (
    answers,
    caller_server,
    context,
    forwarding,
    outcome_recorder,
    refusals,
    request_reader,
    responses,
)
from sardinepier.entry import caller_request, customer_admission
from sardinepier.entry import exit_check, relaying
from sardinepier.telemetry import logs


class Pipeline:
    """Answers the requests of callers."""

    def __init__(
        self,
        shared: context.EntryContext,
        relay: relaying.Relaying | None = None,
    ) -> None:
        """Use the shared objects of the request path.

        Requests that can't reach a target from here are relayed by ``relay``.
        """
        self._shared = shared
        self._request_reader = request_reader.RequestReader(shared)
        self._admission = customer_admission.CustomerAdmission(shared)
        self._forwarding = forwarding.Forwarding(shared, relay)
        self._abandoned_tasks: set[asyncio.Task[answers.Answer]] = set()

    async def handle(
        self,
        http_request: web_request.BaseRequest,
    ) -> web_response.StreamResponse:
        """Return the response to ``http_request``."""
        started_task = caller_server.pipelined_response(http_request)
        if started_task is None:
            response = await self._answer_counted(http_request)
        else:
            response = await started_task
        is_last = not caller_server.has_started_behind(http_request)
        if is_last and self._shared.activity.is_draining:
            response.force_close()
        return response

    def start_pipelined(
        self,
        http_request: web_request.BaseRequest,
    ) -> 'asyncio.Task[web_response.StreamResponse] | None':
        """Start an idempotent request that is queued behind others.

        A non-idempotent one has to wait: if the connection closes before the
        earlier requests are answered, its caller assumes that it was never read.
        While the daemon drains, all wait, so that the connection can close.
        """
        if self._shared.activity.is_draining:
            return None
        if not self._request_reader.is_idempotent(http_request):
            return None
        return asyncio.create_task(self._answer_counted(http_request))

    async def _answer_counted(
        self,
        http_request: web_request.BaseRequest,
    ) -> web_response.StreamResponse:
        with self._shared.activity:
            return await self._answer(http_request)

    async def _answer(
        self,
        http_request: web_request.BaseRequest,
    ) -> web_response.StreamResponse:
        recorder = outcome_recorder.OutcomeRecorder(self._shared, http_request)
        try:
            recorder.request = await self._request_reader.read(http_request)
            self._require_time_before_exit(recorder.request)
            answer = await self._before_exit(recorder.request)
        except core_errors.SardinepierError as error:
            recorder.refused(error)
            return responses.from_error(error)
        except asyncio.CancelledError:
            recorder.cancelled()
            raise
        except Exception as error:  # noqa: BLE001 - any fault gets an answer
            logs.failure('request-failed', error, level=logs.Level.ERROR)
            internal = refusals.InternalError(
                f'The daemon failed: {type(error).__name__}',
                'Check whether the request ran before sending it again',
            )
            recorder.refused(internal)
            return responses.from_error(internal)
        else:
            recorder.answered(answer)
            return responses.from_target(answer)
        finally:
            if recorder.request is not None:
                self._close(recorder.request)

    def _require_time_before_exit(
        self, request: caller_request.CallerRequest
    ) -> None:
        """Raise ``ExitingError`` if the exit could cut off the request."""
        now_s = self._shared.clock.monotonic_s()
        if not self._shared.activity.accepts(now_s, request.deadline_s):
            raise exit_check.error()

    async def _before_exit(
        self, request: caller_request.CallerRequest
    ) -> answers.Answer:
        """Return the answer; raise an error if the daemon exits before it.

        Some HTTP libraries send a request again if its connection closes
        without an answer, whether it may run twice or not.
        """
        try:
            async with self._shared.activity.until_cut_off():
                return await self._within_limit(request)
        except TimeoutError as error:
            if not request.was_sent:
                raise exit_check.error() from error
            raise refusals.CutOffByExitError(
                'The daemon exits while a target has the request',
                'Check whether the request ran before sending it again',
            ) from error

    async def _within_limit(
        self,
        request: caller_request.CallerRequest,
    ) -> answers.Answer:
        """Forward a request as soon as its customer's rate limit allows it.

        Nothing was sent while it waits, so a caller that disconnects cancels
        the wait, also of a non-idempotent request. A request that did not run
        doesn't count. Raises ``RateLimitError``.
        """
        if request.customer is None:
            return await self._forward(request)
        await self._admission.admit(request.customer.name, request)
        try:
            return await self._forward(request)
        except (refusals.NotRunError, asyncio.CancelledError) as error:
            is_refused = isinstance(error, refusals.NotRunError)
            if is_refused or not request.attempts:
                self._admission.refund(request.customer.name)
            raise

    async def _forward(
        self,
        request: caller_request.CallerRequest,
    ) -> answers.Answer:
        """Forward a request, and cancel it if its caller disconnects.

        A non-idempotent request that was sent to a target goes on without its
        caller, because its fate would be unknown if it were cancelled.
        """
        if request.route.is_idempotent:
            return await self._forwarding.forward(request)
        task = asyncio.create_task(self._forwarding.forward(request))
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            request.is_abandoned = True
            if request.was_sent:
                self._abandoned_tasks.add(task)
                task.add_done_callback(
                    functools.partial(self._on_abandoned_end, request)
                )
            else:
                task.cancel()
            raise

    def _close(self, request: caller_request.CallerRequest) -> None:
        """Release the body unless a target still gets it."""
        if not (request.is_abandoned and request.was_sent):
            request.close()

    def _on_abandoned_end(
        self,
        request: caller_request.CallerRequest,
        task: 'asyncio.Task[answers.Answer]',
    ) -> None:
        self._abandoned_tasks.discard(task)
        request.close()
        if task.cancelled():
            return
        if task.exception() is None:
            task.result().close()
        else:
            logs.event('abandoned-failed', str(task.exception()))
