"""One request on its way to a target: no byte of it is ever sent twice.

aiohttp's session sends a request again by itself when a pooled connection
turns out to be closed and it takes the method for idempotent, PUT and DELETE
among them. Only the operators' file may say what is idempotent. So aiohttp's
request, connection and answer are used without its session, which also adds
cookies, redirects and defaults that have no place here. Tests pin that a
request goes out once and as it came.
"""

import asyncio
from collections.abc import Callable
from typing import Any, Final, cast

import multidict
from aiohttp import (
    client,
    client_exceptions,
    client_reqrep,
    connector,
    hdrs,
    http_writer,
)

from sardinepier.gateway import connections, errors

_NO_DEFAULTS: Final = multidict.CIMultiDict[None]({hdrs.CONTENT_TYPE: None})
_AT_ONCE_BYTES: Final = 65536
_RETRY_AFTER_S: Final = 1.0


class Request(client_reqrep.ClientRequest):
    """A request that asks for permission right before its first byte.

    ``path`` goes out as it is; yarl's URLs drop a question mark with nothing
    behind it. ``content`` is the body, and ``expects`` says on which
    connection it may go out, and which answer is its own.
    """

    exchange: 'Exchange'
    path: str
    content: bytes
    expects: connections.Expectation
    _skip_auto_headers = _NO_DEFAULTS

    def update_auto_headers(self, skip_auto_headers: Any) -> None:
        """Add nothing to what the caller sent."""

    async def send(
        self, conn: connector.Connection
    ) -> client_reqrep.ClientResponse:
        """Write the request to ``conn``, at once unless it is long."""
        protocol = cast(connections.GuardedHandler, conn.protocol)
        if protocol.is_stale(self.expects.made_since_s):
            raise errors.StaleConnectionError(
                'The target closed a kept connection, or started again since',
                'Use another connection',
            )
        writer = await self._writer_to(conn, protocol)
        self.exchange.about_to_write()
        protocol.is_idle = False
        protocol.accepts = self.expects.accepts
        conn.add_callback(protocol.pooled)
        task: asyncio.Task[None] | None = None
        if len(self.content) > _AT_ONCE_BYTES or protocol.writing_paused:
            # A target may answer before it has taken all of a long body.
            length = len(self.content)
            task = asyncio.ensure_future(self.write_bytes(writer, conn, length))
            self._writer = task
        else:
            await writer.write(self.content, drain=False)
            writer.set_eof()
        return self._answer(writer, task)

    async def _writer_to(
        self,
        conn: connector.Connection,
        protocol: connections.GuardedHandler,
    ) -> http_writer.StreamWriter:
        """Prepare the head; nothing of it is written yet."""
        protocol.set_response_params(
            skip_payload=self.method == hdrs.METH_HEAD,
            read_until_eof=True,
            auto_decompress=False,
        )
        if conn._connector.force_close:  # noqa: SLF001 - as aiohttp's own send
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
    """One request to one address, sent once."""

    __slots__ = ('_permit', '_request', 'written')

    def __init__(
        self,
        request: Request,
        permit: Callable[[], None],
    ) -> None:
        """Call ``permit`` before the first byte; it raises to forbid it."""
        request.exchange = self
        self._request = request
        self._permit = permit
        self.written = False

    def about_to_write(self) -> None:
        """Ask for permission; from here on the request may have run."""
        self._permit()
        self.written = True

    async def run(
        self,
        pool: connector.BaseConnector,
        timeout: client.ClientTimeout,
    ) -> client_reqrep.ClientResponse:
        """Send the request and raise only errors of this project."""
        try:
            return await self._run(pool, timeout)
        except client_exceptions.ClientResponseError as error:
            raise errors.BadAnswerError(
                f'The target answered with broken HTTP: {error.message}',
                'Find out whether the request ran before sending it anew',
            ) from error
        except (client_exceptions.ClientError, OSError) as error:
            raise self._failure(error) from error

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
            # A connection whose exchange broke is never used again.
            connection.close()
            raise

    def _failure(self, error: Exception) -> errors.GatewayError:
        name = type(error).__name__
        if self.written:
            return errors.ConnectionLostError(
                f'The target ended the connection without an answer ({name})',
                'Find out whether the request ran before sending it anew',
            )
        kind = (
            errors.ConnectTimeoutError
            if isinstance(error, TimeoutError)
            else errors.ConnectFailedError
        )
        return kind(
            f'No connection to the target came about ({name})',
            'Send the request again',
            _RETRY_AFTER_S,
        )


async def _head(
    response: client_reqrep.ClientResponse,
    connection: connector.Connection,
) -> client_reqrep.ClientResponse:
    try:
        return await response.start(connection)
    except BaseException:
        # Stops the writing of a body that is still on its way, too.
        response.close()
        raise
