"""The client towards targets: no byte of a request is ever sent twice.

aiohttp's session sends a request again by itself when a pooled connection
turns out to be closed and it takes the method for idempotent, PUT and DELETE
among them. Only the operators' file may say what is idempotent. So aiohttp's
request, connection and answer are used without its session, which also adds
cookies, redirects and defaults that have no place here. Tests pin that a
request goes out once and as it came.

Pooled connections are guarded further: one on which the target spoke or
which it closed while nobody asked is never used again, because the next
request would read the answer of another.
"""

import asyncio
import contextlib
import functools
import select
from collections.abc import Callable
from typing import Any, Final, cast

import multidict
import yarl
from aiohttp import (
    client,
    client_exceptions,
    client_proto,
    client_reqrep,
    connector,
    hdrs,
    tracing,
)

from sardinepier.gateway import errors

_NO_DEFAULTS: Final = multidict.CIMultiDict[None](
    {hdrs.CONTENT_TYPE: None},
)
_HTTP_PORT: Final = 80
_STALE_TRIES: Final = 4
_TIMEOUTS_KEPT: Final = 64
_KEEPALIVE_S: Final = 15.0
_RETRY_AFTER_S: Final = 1.0


class _GuardedHandler(client_proto.ResponseHandler):
    """A connection that closes when the target speaks unasked."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.is_idle = False
        self.is_reused = False

    def data_received(self, data: bytes) -> None:
        """Take in bytes of an answer; unasked ones end the connection."""
        # Without data this only says that reading goes on.
        if self.is_idle and data:
            self.abort()
            return
        super().data_received(data)

    def is_stale(self) -> bool:
        """Tell whether the target closed or spoke while this was idle.

        The event loop may not have read that yet, so the socket is asked.
        """
        if self.should_close or self.transport is None:
            return True
        if not self.is_reused:
            return False
        poller = select.poll()
        poller.register(
            self.transport.get_extra_info('socket').fileno(),
            select.POLLIN,
        )
        return bool(poller.poll(0))

    def pooled(self) -> None:
        """Note that the exchange is over."""
        self.is_idle = True
        self.is_reused = True


class _GuardedConnector(connector.BaseConnector):
    """Makes guarded connections; slots of the queue bound their number.

    Targets and peers are IP numbers without TLS: there is no name to look up
    and no choice of addresses to try side by side.
    """

    def __init__(self, *, force_close: bool) -> None:
        if force_close:
            super().__init__(limit=0, force_close=True)
        else:
            super().__init__(limit=0, keepalive_timeout=_KEEPALIVE_S)

    async def _create_connection(
        self,
        req: client_reqrep.ClientRequest,
        traces: list[tracing.Trace],
        timeout: client.ClientTimeout,
    ) -> client_proto.ResponseHandler:
        """Connect within ``timeout``, or raise an ``OSError``."""
        async with asyncio.timeout(timeout.sock_connect):
            _, made = await self._loop.create_connection(
                self._guarded,
                host=req.host,
                port=req.port or _HTTP_PORT,
            )
        return made

    def _guarded(self) -> _GuardedHandler:
        return _GuardedHandler(self._loop)


class _Request(client_reqrep.ClientRequest):
    """A request that asks for permission right before its first byte."""

    exchange: 'Exchange | None' = None
    _skip_auto_headers = _NO_DEFAULTS

    def update_auto_headers(self, skip_auto_headers: Any) -> None:
        """Add nothing to what the caller sent."""

    async def send(
        self, conn: connector.Connection
    ) -> client_reqrep.ClientResponse:
        """Write the request to ``conn``."""
        protocol = cast(_GuardedHandler, conn.protocol)
        if protocol.is_stale():
            raise errors.StaleConnectionError(
                'The target closed a kept connection',
                'Use another connection',
            )
        if self.exchange is not None:
            self.exchange.about_to_write()
        protocol.is_idle = False
        conn.add_callback(protocol.pooled)
        protocol.set_response_params(
            skip_payload=self.method == hdrs.METH_HEAD,
            read_until_eof=True,
            auto_decompress=False,
        )
        return await super().send(conn)


class Exchange:
    """One request to one address, sent once."""

    __slots__ = ('_permit', '_request', 'written')

    def __init__(
        self,
        request: client_reqrep.ClientRequest,
        permit: Callable[[], None],
    ) -> None:
        """Call ``permit`` before the first byte; it raises to forbid it."""
        cast(_Request, request).exchange = self
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
        return errors.ConnectFailedError(
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


class TargetClient:
    """Keeps the connections to targets and peers; one a process."""

    def __init__(self) -> None:
        """Open no connection yet. Needs a running event loop."""
        self._loop = asyncio.get_running_loop()
        self._pooled = _GuardedConnector(force_close=False)
        self._fresh = _GuardedConnector(force_close=True)

    async def close(self) -> None:
        """Close all connections."""
        await self._pooled.close()
        await self._fresh.close()

    async def open(
        self,
        method: str,
        url: yarl.URL,
        headers: list[tuple[str, str]],
        body: bytes,
        *,
        fresh: bool,
        connect_timeout_s: float,
        permit: Callable[[], None],
    ) -> client_reqrep.ClientResponse:
        """Send a request and return the answer once its headers are there.

        ``fresh`` takes a new connection that is not kept. ``permit`` is
        called right before the first byte. Raises ``ConnectFailedError`` if
        nothing was sent, ``ConnectionLostError`` or ``BadAnswerError`` if
        something was, and what ``permit`` raises.
        """
        for left in range(_STALE_TRIES, -1, -1):
            pool = self._fresh if fresh or not left else self._pooled
            request = _Request(
                method,
                url,
                headers=headers,
                data=body or None,
                loop=self._loop,
            )
            with contextlib.suppress(errors.StaleConnectionError):
                return await Exchange(request, permit).run(
                    pool,
                    _timeout(connect_timeout_s),
                )
        raise _no_connection()


def _no_connection() -> errors.ConnectFailedError:
    return errors.ConnectFailedError(
        'The target closes each connection as soon as it is made',
        'Send the request again',
        _RETRY_AFTER_S,
    )


@functools.lru_cache(maxsize=_TIMEOUTS_KEPT)
def _timeout(connect_timeout_s: float) -> client.ClientTimeout:
    return client.ClientTimeout(
        total=None,
        sock_connect=connect_timeout_s,
    )
