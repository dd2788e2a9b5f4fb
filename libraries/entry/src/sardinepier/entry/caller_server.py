"""The HTTP servers of an entry instance: callers, directory, readiness."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Final, cast

from aiohttp import (
    http_exceptions,
    http_parser,
    http_writer,
    web_request,
    web_response,
)

from sardinepier.entry import model, refusals, responses
from sardinepier.gateway import graceful_connection
from sardinepier.telemetry import logs

Handler = Callable[
    [web_request.BaseRequest],
    Awaitable[web_response.StreamResponse],
]
StartPipelined = Callable[
    [web_request.BaseRequest],
    'asyncio.Task[web_response.StreamResponse] | None',
]
BoundsGetter = Callable[[], model.CallerBounds]

_LINGERING_TIME_S: Final = 2.0
_MAX_HEADERS: Final = 100


class CallerConnection(graceful_connection.GracefulConnection):
    """One connection of a caller.

    Pipelined requests, sent before the answer to an earlier one, are started
    at once if ``start_pipelined`` accepts them. Responses are still sent in the
    order of the requests.
    """

    def __init__(self, server: 'HttpServer', **options: Any) -> None:
        """Answer requests by the handler of ``server``."""
        super().__init__(server, **options)
        self.is_closed_by_caller = False
        self._start_pipelined = server.start_pipelined
        self._early_responses: dict[
            int, asyncio.Task[web_response.StreamResponse]
        ] = {}

    def data_received(self, data: bytes) -> None:
        """Parse bytes, and start requests that are queued behind others."""
        super().data_received(data)
        if self._start_pipelined is None or not self._messages:
            return
        if len(self._messages) > 1 or self._request_in_progress:
            for message, payload in self._messages:
                self._start_early(message, payload)

    def eof_received(self) -> None:
        """Record that the caller closes the connection."""
        self.is_closed_by_caller = True
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the pipelined requests."""
        self.is_closed_by_caller |= exc is not None
        super().connection_lost(exc)
        for task in self._early_responses.values():
            task.cancel()
            task.add_done_callback(_abort_stream)
        self._early_responses.clear()

    @property
    def has_started_requests(self) -> bool:
        """Whether requests behind the current one were started."""
        return bool(self._early_responses)

    def pipelined_response(
        self,
        request: web_request.BaseRequest,
    ) -> 'asyncio.Task[web_response.StreamResponse] | None':
        """Return the task that answers ``request``, if it was started early."""
        return self._early_responses.pop(id(request._message), None)  # noqa: SLF001

    def handle_error(
        self,
        request: web_request.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web_response.StreamResponse:
        """Answer a request that can't be parsed, or whose handler failed."""
        if request.writer.output_size > 0:
            raise ConnectionResetError('The answer was interrupted')
        if isinstance(exc, Exception) and not isinstance(
            exc,
            http_exceptions.HttpProcessingError,
        ):
            response = self.response_to_failure(request, exc)
        else:
            response = responses.from_error(
                refusals.BadRequestError(
                    f'The request is not valid HTTP: {message}',
                    'Send a valid HTTP/1.1 request',
                ),
            )
        response.force_close()
        return response

    def response_to_failure(
        self, request: web_request.BaseRequest, error: Exception
    ) -> web_response.StreamResponse:
        """Return an error response in place of an answer, and log why."""
        logs.failure('request-failed', error, level=logs.Level.ERROR)
        return responses.from_error(
            refusals.InternalError(
                f'The daemon failed: {type(error).__name__}',
                'Check whether the request ran before sending it again',
            ),
        )

    def _start_early(self, message: Any, payload: Any) -> None:
        is_parsed = isinstance(message, http_parser.RawRequestMessage)
        if not is_parsed or id(message) in self._early_responses:
            return
        if self._start_pipelined is None or not payload.is_eof():
            return
        request = web_request.BaseRequest(
            message,
            payload,
            self,
            http_writer.StreamWriter(self, self._loop),
            cast(Any, self._task_handler),
            self._loop,
        )
        task = self._start_pipelined(request)
        if task is not None:
            self._early_responses[id(message)] = task


class HttpServer(graceful_connection.GracefulServer):
    """Listens on one address and answers requests by one handler.

    For example::

        server = HttpServer(pipeline.handle, lambda: bounds)
        await server.start('10.0.0.7', 8080)
    """

    def __init__(
        self,
        handler: Any,
        bounds: BoundsGetter,
        start_pipelined: StartPipelined | None = None,
        max_connections: int | None = None,
    ) -> None:
        """Answer by ``handler``, which is cancelled if the caller disconnects.

        ``start_pipelined`` may start to answer a request that is queued behind
        others of its connection, and returns None for one that has to wait.
        ``max_connections`` is as in ``GracefulServer``.
        """
        super().__init__(handler, max_connections)
        self.start_pipelined = start_pipelined
        self._bounds = bounds

    def __call__(self) -> CallerConnection:
        """Create the protocol of a new connection."""
        bounds = self._bounds()
        return CallerConnection(
            self,
            loop=asyncio.get_running_loop(),
            access_log=None,
            keepalive_timeout=bounds.idle_timeout_s,
            lingering_time=_LINGERING_TIME_S,
            max_line_size=bounds.header_bytes,
            max_field_size=bounds.header_bytes,
            max_headers=_MAX_HEADERS,
            auto_decompress=False,
        )

    async def close(
        self, within_s: float, cut_off: Callable[[], None] | None = None
    ) -> int:
        """Close all connections, after the answers in flight were sent.

        ``cut_off`` and the result are as in ``GracefulServer.drain``.
        """
        self.stop_listening()
        return await self.drain(within_s, cut_off)


def _abort_stream(task: 'asyncio.Task[web_response.StreamResponse]') -> None:
    """Abort the stream of an answer whose caller disconnected."""
    if task.cancelled() or task.exception() is not None:
        return
    response = task.result()
    if isinstance(response, responses.RelayedResponse):
        response.abort()


def is_closed_by_caller(request: web_request.BaseRequest) -> bool:
    """Return whether the caller of a request closed or reset its connection."""
    connection = request.protocol
    return (
        isinstance(connection, CallerConnection)
        and connection.is_closed_by_caller
    )


def has_started_behind(request: web_request.BaseRequest) -> bool:
    """Return whether requests behind this one were started already."""
    connection = request.protocol
    return (
        isinstance(connection, CallerConnection)
        and connection.has_started_requests
    )


def pipelined_response(
    request: web_request.BaseRequest,
) -> 'asyncio.Task[web_response.StreamResponse] | None':
    """Return the task that answers a pipelined request, if it was started early."""
    connection = request.protocol
    if isinstance(connection, CallerConnection):
        return connection.pipelined_response(request)
    return None
