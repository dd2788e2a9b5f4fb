"""Connections of callers that close without losing an answer."""

import asyncio
import contextlib
import socket
from collections.abc import Callable, Sequence
from typing import Any, Final

from aiohttp import web_protocol, web_request, web_response, web_server

from sardinepier.gateway import read_buffers
from sardinepier.telemetry import logs

_LINGERING_TIME_S: Final = 2.0
"""How long a caller may take to close a connection after the last answer."""

_CUT_OFF_ANSWER_S: Final = 0.1
"""How long requests that are cut off may take to be answered."""

_BACKLOG: Final = 512

_BATCH_SHARE: Final = 32
"""Divides the limit of connections into those that are accepted in one iteration
of the event loop, and those that are closed at once to make room. A connection
that is closed keeps its descriptor for a few iterations."""

_UNLIMITED_BATCH: Final = 64

_LOG_INTERVAL_S: Final = 1.0


class GracefulConnection(web_protocol.RequestHandler):
    """A connection that may be drained: closed once all answers are sent."""

    def __init__(self, server: 'GracefulServer', **options: Any) -> None:
        """Answer requests by the handler of ``server``."""
        super().__init__(
            server, read_bufsize=read_buffers.READ_AHEAD_BYTES, **options
        )
        self.idle_since_s = asyncio.get_running_loop().time()
        self._is_draining = False
        self._closed: asyncio.Future[None] | None = None

    @property
    def has_started_requests(self) -> bool:
        """Whether requests behind the current one were started."""
        return False

    def drain(self) -> asyncio.Future[None]:
        """Close at once if idle, else with the last answer that is due.

        Requests that are being read still arrive whole, unlike after
        ``close``. The result is done when the last byte has been sent.
        """
        self._is_draining = True
        if self.is_idle():
            self.force_close()
        return self._until_closed()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Read in small parts, so that flow control takes effect early."""
        read_buffers.limit_socket_reads(transport)
        super().connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Report that the connection is closed."""
        super().connection_lost(exc)
        if self._closed is not None and not self._closed.done():
            self._closed.set_result(None)

    async def finish_response(
        self,
        request: web_request.BaseRequest,
        resp: web_response.StreamResponse,
        start_time: float | None,
    ) -> tuple[web_response.StreamResponse, bool]:
        """Send a response, the last one if the connection is drained.

        One of which nothing can be written is replaced: an error would close
        the connection, and take the requests behind along.
        """
        if self._is_last_response():
            resp.force_close()
        try:
            finished = await super().finish_response(request, resp, start_time)
        except Exception as error:  # noqa: BLE001 - any fault gets an answer
            replacement = self._replacement(request, resp, error)
            finished = await super().finish_response(
                request, replacement, start_time
            )
        self.idle_since_s = asyncio.get_running_loop().time()
        # Draining may have begun after the head was sent.
        is_closed_early = request.keep_alive and not resp.keep_alive
        if is_closed_early or self._is_last_response():
            await self._linger()
        return finished

    def response_to_failure(
        self, request: web_request.BaseRequest, error: Exception
    ) -> web_response.StreamResponse:
        """Return the response in place of one that could not be written."""
        raise NotImplementedError

    def is_idle(self) -> bool:
        """Return whether it is open and each request that was read is answered."""
        if self.transport is None or self._messages:
            return False
        is_waiting = self._waiter is not None and not self._waiter.done()
        return is_waiting or not self._request_count

    def _replacement(
        self,
        request: web_request.BaseRequest,
        resp: web_response.StreamResponse,
        error: Exception,
    ) -> web_response.StreamResponse:
        """Return the response in place of ``resp``; raise ``error`` if too late."""
        if request.writer.output_size > 0:
            raise error
        replacement = self.response_to_failure(request, error)
        if not resp.keep_alive:
            replacement.force_close()
        return replacement

    async def _linger(self) -> None:
        """Discard what arrives until the caller closes the connection.

        Closing a socket with unread bytes resets the connection, so that the
        caller could lose the answer.
        """
        self.close()
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        transport.write_eof()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_LINGERING_TIME_S):
                await asyncio.shield(self._until_closed())

    def _until_closed(self) -> asyncio.Future[None]:
        if self._closed is None:
            self._closed = asyncio.get_running_loop().create_future()
        return self._closed

    def _is_last_response(self) -> bool:
        return self._is_draining and not self.has_started_requests


class GracefulServer(web_server.Server):
    """Creates connections that may be drained.

    The handler of a request is cancelled if the caller disconnects. Beyond
    ``max_connections`` those that were idle for longest are closed, or the new
    one if none is idle.
    """

    def __init__(
        self, handler: Any, max_connections: int | None = None
    ) -> None:
        """Answer requests by ``handler``; None is no limit."""
        super().__init__(handler, handler_cancellation=True)
        self._is_draining = False
        self._max_connections = max_connections
        self._listener: asyncio.Server | None = None
        self._open_connections = 0
        self._closing: set[web_protocol.RequestHandler] = set()
        self._closed_for_room = 0
        self._next_log_s = 0.0

    async def start(self, ip: str, port: int) -> int:
        """Listen, and return the port; the system chooses one if it is 0.

        The event loop accepts up to ``backlog`` connections before it handles
        the first, so it gets a smaller one than the system.
        """
        batch = _UNLIMITED_BATCH
        if self._max_connections is not None:
            batch = _batch(self._max_connections)
        listening = socket.create_server((ip, port))
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self, sock=listening, backlog=batch
        )
        listening.listen(_BACKLOG)
        bound: int = listening.getsockname()[1]
        return bound

    def stop_listening(self) -> None:
        """Accept no new connections; open ones are still served."""
        if self._listener is not None:
            self._listener.close()

    def connection_made(
        self,
        handler: web_protocol.RequestHandler,
        transport: asyncio.Transport,
    ) -> None:
        """Close a connection that was accepted before draining began."""
        super().connection_made(handler, transport)
        self._open_connections += 1
        if self._is_draining:
            handler.force_close()
        elif self._max_connections is not None:
            self._keep_limit(self._max_connections, handler)

    def connection_lost(
        self,
        handler: web_protocol.RequestHandler,
        exc: BaseException | None = None,
    ) -> None:
        """Count a connection that is closed."""
        super().connection_lost(handler, exc)
        self._open_connections -= 1
        self._closing.discard(handler)

    async def drain(
        self, within_s: float, cut_off: Callable[[], None] | None = None
    ) -> int:
        """Close each connection as soon as its answers are sent.

        Shortly before ``within_s`` seconds have passed, ``cut_off`` lets the
        requests in flight be answered. Connections that are open after that
        are closed; returns their number.
        """
        self._is_draining = True
        connections = [
            connection
            for connection in self.connections
            if isinstance(connection, GracefulConnection)
        ]
        closed = {connection.drain(): connection for connection in connections}
        if not closed:
            return 0
        if cut_off is not None:
            within_s = max(0.0, within_s - _CUT_OFF_ANSWER_S)
        _, unfinished = await asyncio.wait(closed, timeout=within_s)
        if unfinished and cut_off is not None:
            cut_off()
            _, unfinished = await asyncio.wait(
                unfinished, timeout=_CUT_OFF_ANSWER_S
            )
        for connection_closed in unfinished:
            closed[connection_closed].force_close()
        return len(unfinished)

    def _keep_limit(
        self, limit: int, newest: web_protocol.RequestHandler
    ) -> None:
        open_connections = self._open_connections - len(self._closing)
        if open_connections <= limit:
            return
        closing: Sequence[web_protocol.RequestHandler] = self._longest_idle(
            newest
        )[: _batch(limit)] or [newest]
        for connection in closing:
            self._closing.add(connection)
            connection.force_close()
            self._closed_for_room += 1
        self._log_closed(open_connections)

    def _longest_idle(
        self, newest: web_protocol.RequestHandler
    ) -> list[GracefulConnection]:
        idle = [
            connection
            for connection in self.connections
            if isinstance(connection, GracefulConnection)
            and connection is not newest
            and connection.is_idle()
        ]
        return sorted(idle, key=lambda connection: connection.idle_since_s)

    def _log_closed(self, open_connections: int) -> None:
        now_s = asyncio.get_running_loop().time()
        if now_s < self._next_log_s:
            return
        self._next_log_s = now_s + _LOG_INTERVAL_S
        logs.event(
            'connections-limited',
            level=logs.Level.WARNING,
            open=open_connections,
            closed=self._closed_for_room,
        )
        self._closed_for_room = 0


def _batch(limit: int) -> int:
    """Return how many of ``limit`` connections are accepted or closed at once."""
    return 1 + limit // _BATCH_SHARE
