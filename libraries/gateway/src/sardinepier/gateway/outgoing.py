"""Sends a request to a target, and no byte of it twice.

aiohttp's session resends a request by itself when a pooled connection turns
out to be closed and the method counts as idempotent, as PUT and DELETE do.
Here only the operators' settings say what is idempotent. Therefore this module
uses aiohttp's request, connection and response without its session, which also
adds cookies, redirects and default headers. Tests check that a request is sent
once and unchanged.
"""

import asyncio
import errno
import re
from collections.abc import Callable
from typing import Any, Final, cast

import multidict
from aiohttp import (
    abc,
    client,
    client_exceptions,
    client_reqrep,
    connector,
    hdrs,
    http_writer,
    payload,
)

from sardinepier.gateway import (
    connections,
    errors,
    read_buffers,
    request_body,
    unsent,
)

_NO_DEFAULTS: Final = multidict.CIMultiDict[None]({hdrs.CONTENT_TYPE: None})
_MAX_INLINE_BYTES: Final = 65536
_QUOTED_BYTES: Final = re.compile('[:\'"\n]')
_NO_DESCRIPTOR: Final = frozenset((errno.EMFILE, errno.ENFILE))
_RETRY_AFTER_S: Final = 1.0


class PartsPayload(payload.BytesPayload):
    """A body that is written part by part, once.

    The connection's buffer would copy a long body whole.
    """

    def __init__(self, body: request_body.RequestBody) -> None:
        """Write the parts of ``body``."""
        super().__init__(b'')
        self._size = len(body)
        self._parts = body.parts

    async def write_with_length(
        self,
        writer: abc.AbstractStreamWriter,
        content_length: int | None,
    ) -> None:
        """Write the body as fast as the target reads it."""
        parts = self._parts
        self._parts = ()
        for part in parts:
            await writer.write(part)


class Request(client_reqrep.ClientRequest):
    """A request that asks for permission right before its first byte.

    ``path`` is sent unchanged; a yarl URL would drop a trailing question mark.
    ``content`` is the body. ``expects`` restricts the connection to use and
    identifies the answer to this request.
    """

    exchange: 'Exchange'
    path: str
    content: request_body.RequestBody
    expects: connections.Expectation
    _skip_auto_headers = _NO_DEFAULTS

    def update_auto_headers(self, skip_auto_headers: Any) -> None:
        """Add no headers to those of the caller."""

    async def send(
        self, conn: connector.Connection
    ) -> client_reqrep.ClientResponse:
        """Write the request to ``conn``; a long body in a task of its own."""
        protocol = cast(connections.GuardedHandler, conn.protocol)
        if self.expects.on_connected is not None and not protocol.is_reused:
            self.expects.on_connected()
        if protocol.is_stale(self.expects.made_since_s):
            raise _stale_error(is_reused=protocol.is_reused)
        writer = await self._writer_to(conn, protocol)
        self.exchange.begin_writing()
        # Reference cycles would keep a body until the garbage is collected.
        content = self.content
        self.content = request_body.EMPTY
        protocol.set_body_length(len(content))
        if self.expects.on_sent is not None:
            self.expects.on_sent(protocol.end_as_gone, protocol.is_reused)
        protocol.begin_exchange(self.expects.accepts)
        conn.add_callback(protocol.mark_idle)
        task: asyncio.Task[None] | None = None
        if len(content) > _MAX_INLINE_BYTES or protocol.writing_paused:
            # A target may answer before it has read all of a long body.
            length = len(content)
            task = asyncio.ensure_future(self.write_bytes(writer, conn, length))
            self._writer = task
        else:
            await writer.write(bytes(content), drain=False)
            writer.set_eof()
        return self._answer(writer, task)

    async def _writer_to(
        self,
        conn: connector.Connection,
        protocol: connections.GuardedHandler,
    ) -> http_writer.StreamWriter:
        """Prepare the headers; nothing is written yet."""
        protocol.set_response_params(
            read_bufsize=read_buffers.READ_AHEAD_BYTES,
            skip_payload=self.method == hdrs.METH_HEAD,
            read_until_eof=True,
            auto_decompress=False,
        )
        if conn._connector.force_close:  # noqa: SLF001 - as in aiohttp's send
            self.headers[hdrs.CONNECTION] = 'close'
        writer = http_writer.StreamWriter(protocol, self.loop)
        line = f'{self.method} {self.path} HTTP/1.1'
        await writer.write_headers(line, self.headers)
        return writer

    def _answer(
        self,
        writer: http_writer.StreamWriter,
        task: 'asyncio.Task[None] | None',
    ) -> client_reqrep.ClientResponse:
        return client_reqrep.ClientResponse(
            self.method,
            self.url,
            writer=task,
            continue100=None,
            timer=self._timer,
            request_info=self.request_info,
            traces=[],
            loop=self.loop,
            session=cast(Any, None),
            stream_writer=writer,
        )


class Exchange:
    """A single send of a request to one address."""

    __slots__ = ('_permit', '_request', 'written')

    def __init__(
        self,
        request: Request,
        permit: Callable[[], None],
    ) -> None:
        """Call ``permit`` before the first byte; it raises to prevent it."""
        request.exchange = self
        self._request = request
        self._permit = permit
        self.written = False

    def begin_writing(self) -> None:
        """Ask for permission; afterwards the request may have run."""
        self._permit()
        self.written = True

    async def run(
        self,
        pool: connector.BaseConnector,
        timeout: client.ClientTimeout,
    ) -> client_reqrep.ClientResponse:
        """Send the request; raise only errors of this project."""
        try:
            return await self._run(pool, timeout)
        except client_exceptions.ClientResponseError as error:
            raise errors.BadAnswerError(
                f'The target answered with invalid HTTP: {_reason(error)}',
                'Check whether the request ran before sending it again',
            ) from error
        except (client_exceptions.ClientError, OSError) as error:
            raise self._connection_error(error) from error

    async def _run(
        self,
        pool: connector.BaseConnector,
        timeout: client.ClientTimeout,
    ) -> client_reqrep.ClientResponse:
        connection = await pool.connect(self._request, [], timeout)
        try:
            response = await self._request.send(connection)
            return await _head(response, connection)
        except BaseException:
            # A connection with a failed exchange is never reused.
            connection.close()
            raise

    def _connection_error(self, error: Exception) -> errors.GatewayError:
        if not self.written:
            return connect_error(error)
        name = type(error).__name__
        if connections.is_gone(error):
            return errors.TargetGoneError(
                f'The target is gone and left no answer ({name})',
                'Check whether the request ran before sending it again',
            )
        return errors.ConnectionLostError(
            f'The target ended the connection without an answer ({name})',
            'Check whether the request ran before sending it again',
        )


def connect_error(error: Exception) -> errors.ProvedNotRunError:
    """Return the error for a connection that was not made."""
    if isinstance(error, OSError) and error.errno in _NO_DESCRIPTOR:
        return unsent.NoDescriptorError(
            'This daemon has no descriptor left for a connection',
            'Send the request again, preferably to another address',
            _RETRY_AFTER_S,
        )
    return _connect_error_type(error)(
        f'The connection to the target failed ({type(error).__name__})',
        'Send the request again',
        _RETRY_AFTER_S,
    )


def _reason(error: client_exceptions.ClientResponseError) -> str:
    """Return what is invalid, without the quoted bytes.

    These may be of an answer to another caller.
    """
    return _QUOTED_BYTES.split(error.message, maxsplit=1)[0].strip()


def _stale_error(*, is_reused: bool) -> errors.ProvedNotRunError:
    if is_reused:
        return errors.StaleConnectionError(
            'The target closed a pooled connection, or has restarted',
            'Use another connection',
        )
    return errors.ConnectFailedError(
        'The target closed a new connection, or sent on it before a request',
        'Send the request again',
        _RETRY_AFTER_S,
    )


def _connect_error_type(error: Exception) -> type[errors.ConnectFailedError]:
    if isinstance(error, TimeoutError):
        return errors.ConnectTimeoutError
    if isinstance(error, ConnectionRefusedError):
        return errors.ConnectRefusedError
    return errors.ConnectFailedError


async def _head(
    response: client_reqrep.ClientResponse,
    connection: connector.Connection,
) -> client_reqrep.ClientResponse:
    try:
        return await response.start(connection)
    except BaseException:
        # Also stops the task that may still be writing the body.
        response.close()
        raise
