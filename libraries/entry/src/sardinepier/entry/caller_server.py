"""The HTTP servers of an entry instance: callers, directory, readiness."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any, Final, cast

from aiohttp import (
    http_exceptions,
    http_parser,
    http_writer,
    web_protocol,
    web_request,
    web_response,
    web_server,
)

from sardinepier.entry import model, refusals, responses
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

_BACKLOG: Final = 512
_LINGERING_S: Final = 2.0
_MOST_HEADERS: Final = 100


class CallerConnection(web_protocol.RequestHandler):
    """One connection of a caller.

    Requests that a caller sends before it has the answer to an earlier one
    are begun at once where ``start_pipelined`` takes them; answers still go out
    in the order of the requests.
    """

    def __init__(self, server: 'HttpServer', **options: Any) -> None:
        """Answer by the handler of ``server``."""
        super().__init__(server, **options)
        self._begin_early = server.start_pipelined
        self._early: dict[int, asyncio.Task[web_response.StreamResponse]] = {}

    def data_received(self, data: bytes) -> None:
        """Take in bytes, and begin what is queued behind other requests."""
        super().data_received(data)
        if self._begin_early is None or not self._messages:
            return
        if len(self._messages) > 1 or self._request_in_progress:
            for message, payload in self._messages:
                self._begin(message, payload)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End what was begun for a caller that is gone."""
        super().connection_lost(exc)
        for task in self._early.values():
            task.cancel()
            task.add_done_callback(_give_up)
        self._early.clear()

    def pipelined_response(
        self,
        request: web_request.BaseRequest,
    ) -> 'asyncio.Task[web_response.StreamResponse] | None':
        """Return the answer that was begun for ``request``, if any."""
        return self._early.pop(id(request._message), None)  # noqa: SLF001

    def handle_error(
        self,
        request: web_request.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web_response.StreamResponse:
        """Answer what can't be parsed; nothing of it was run."""
        if request.writer.output_size > 0:
            raise ConnectionResetError('The answer broke on its way')
        if exc is not None and not isinstance(
            exc,
            http_exceptions.HttpProcessingError,
        ):
            logs.failure('request-failed', exc, level=logs.Level.ERROR)
            error: refusals.EntryError = refusals.InternalError(
                f'The daemon failed: {type(exc).__name__}',
                'Find out whether the request ran before sending it anew',
            )
        else:
            error = refusals.BadRequestError(
                f'The request is not valid HTTP: {message}',
                'Send a valid HTTP/1.1 request',
            )
        response = responses.from_error(error)
        response.force_close()
        return response

    def _begin(self, message: Any, payload: Any) -> None:
        is_parsed = isinstance(message, http_parser.RawRequestMessage)
        if not is_parsed or id(message) in self._early:
            return
        if self._begin_early is None or not payload.is_eof():
            return
        request = web_request.BaseRequest(
            message,
            payload,
            self,
            http_writer.StreamWriter(self, self._loop),
            cast(Any, self._task_handler),
            self._loop,
        )
        task = self._begin_early(request)
        if task is not None:
            self._early[id(message)] = task


class HttpServer(web_server.Server):
    """Listens at one address and answers by one handler.

    For example::

        server = HttpServer(pipeline.handle, lambda: bounds)
        await server.start('10.0.0.7', 8080)
    """

    def __init__(
        self,
        handler: Any,
        bounds: BoundsGetter,
        start_pipelined: StartPipelined | None = None,
    ) -> None:
        """Answer requests by ``handler``, which is cancelled on a hang-up.

        ``start_pipelined`` may begin the answer to a request whose turn has not
        come, and returns None for one that has to wait.
        """
        super().__init__(handler, handler_cancellation=True)
        self.start_pipelined = start_pipelined
        self._bounds = bounds
        self._listener: asyncio.Server | None = None

    def __call__(self) -> CallerConnection:
        """Make the protocol of a new connection."""
        bounds = self._bounds()
        return CallerConnection(
            self,
            loop=asyncio.get_running_loop(),
            access_log=None,
            keepalive_timeout=bounds.idle_timeout_s,
            lingering_time=_LINGERING_S,
            max_line_size=bounds.header_bytes,
            max_field_size=bounds.header_bytes,
            max_headers=_MOST_HEADERS,
            auto_decompress=False,
        )

    async def start(self, ip: str, port: int) -> int:
        """Listen, and return the port, which the system chose for 0."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self,
            ip,
            port,
            backlog=_BACKLOG,
        )
        bound: int = self._listener.sockets[0].getsockname()[1]
        return bound

    def stop_listening(self) -> None:
        """Take no new connections; those that are open are served."""
        if self._listener is not None:
            self._listener.close()

    async def close(self, within_s: float) -> None:
        """Close all connections, after answers in hand went out."""
        self.stop_listening()
        self.pre_shutdown()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within_s):
                await self.shutdown(within_s)


def _give_up(task: 'asyncio.Task[web_response.StreamResponse]') -> None:
    """End what is left of an answer that nobody will read."""
    if task.cancelled() or task.exception() is not None:
        return
    response = task.result()
    if isinstance(response, responses.RelayedResponse):
        response.abort()


def pipelined_response(
    request: web_request.BaseRequest,
) -> 'asyncio.Task[web_response.StreamResponse] | None':
    """Return the answer that was begun before its turn, if there is one."""
    connection = request.protocol
    if isinstance(connection, CallerConnection):
        return connection.pipelined_response(request)
    return None
