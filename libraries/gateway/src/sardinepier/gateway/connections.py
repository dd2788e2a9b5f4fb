"""Connections to targets and peers that never mix up answers.

A connection is not used once the target sent data on it or closed it while no
exchange was open, because the next request could take that for its answer. An
answer that is not the exchange's own is skipped if the exchange can recognize
its own.
"""

import asyncio
import contextlib
import dataclasses
import errno
import os
import re
import select
import socket
from collections.abc import Callable
from typing import Any, Final, TypeVar

import multidict
from aiohttp import (
    client,
    client_exceptions,
    client_proto,
    client_reqrep,
    connector,
    http_exceptions,
    streams,
    tracing,
)

from sardinepier.gateway import (
    answer_heads,
    endless,
    keepalive,
    peer_watch,
    read_buffers,
)

_Protocol = TypeVar('_Protocol', bound=asyncio.BaseProtocol)

Accepts = Callable[[int, multidict.CIMultiDictProxy[str]], bool]
"""Returns from status and headers whether an answer belongs to the exchange."""

EndAsGone = Callable[[], bool]
"""Ends an open exchange as if its target had stopped answering TCP.

Returns False, and does nothing, while bytes of the answer wait to be read.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Expectation:
    """The requirements of an exchange on its connection and answer.

    ``accepts`` distinguishes the answer to this request from a late answer to
    an earlier one. A connection made before ``made_since_s``, in event loop
    time, is not used: the process behind it may have been replaced.
    ``on_sent`` is called at the first byte with the function that ends the
    exchange, and whether the connection was used before. ``on_connected`` is
    called before if the connection is a new one.
    """

    accepts: Accepts | None = None
    made_since_s: float = 0.0
    on_sent: Callable[[EndAsGone, bool], None] | None = None
    on_connected: Callable[[], None] | None = None


_HTTP_PORT: Final = 80
_KEEPALIVE_S: Final = 15.0
_KEEP_ALIVE: Final = 'Keep-Alive'
_TIMEOUT: Final = re.compile(r'timeout=(\d+)')
_IDLE_TIMEOUT_SHARE: Final = 0.7
"""The share of the target's stated idle timeout after which a pooled connection
is not reused: a request sent while the target closes the connection is lost."""


_GONE_ERRNOS: Final = frozenset(
    (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH)
)


def is_gone(error: BaseException) -> bool:
    """Return whether TCP gave up on a peer that did not close."""
    return isinstance(error, OSError) and error.errno in _GONE_ERRNOS


class GuardedHandler(client_proto.ResponseHandler):
    """A connection that closes if the target sends data without an exchange."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start without an exchange."""
        super().__init__(loop)
        self.is_idle = True
        self.is_reused = False
        self.made_s = loop.time()
        self.accepts: Accepts | None = None
        self._idle_until_s = float('inf')
        self._is_gone = False
        self._has_skipped = False
        self._has_long_body = False
        self._endless = endless.EndlessBytes()
        self._watch: peer_watch.PeerWatch | None = None

    async def read(self) -> Any:
        """Return the answer to this exchange; skip interim and other answers.

        Raises ``BadHttpMessage`` if bytes arrive that are none.
        """
        while True:
            message, payload = await super().read()
            if not answer_heads.is_final(message):
                continue
            if self._is_accepted(message):
                self._record_idle_timeout(message)
                self._endless.has_begun = True
                return message, payload
            self._has_skipped = True
            answer_heads.require_end(message, payload)
            await payload.read()

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the exchange; mark an answer cut off by a reset as incomplete.

        An answer without a length ends with its connection, and aiohttp
        accepts any end of the connection as the end of the answer.
        """
        self._stop_watching()
        if self._is_gone and exc is None:
            exc = TimeoutError(errno.ETIMEDOUT, 'The target is gone')
        elif self._has_skipped and not self._endless.has_begun:
            self.set_exception(
                http_exceptions.BadHttpMessage(
                    'The target sent only answers to other requests',
                ),
            )
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                client_exceptions.ClientPayloadError(
                    'The connection was reset during the answer',
                ),
            )
        super().connection_lost(exc)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Detect from now on a peer that disappears without closing."""
        sock = transport.get_extra_info('socket')
        keepalive.enable(sock)
        watch = peer_watch.PeerWatch(sock, self.end_as_gone)
        self._watch = watch if watch.is_possible else None
        read_buffers.limit_socket_reads(transport)
        super().connection_made(transport)

    def end_as_gone(self) -> bool:
        """End the exchange; see ``EndAsGone``."""
        if self.transport is None:
            return True
        if self._is_readable():
            return False
        self._is_gone = True
        self.transport.abort()
        return True

    def set_body_length(self, length: int) -> None:
        """Allow the target the time to read a request body of ``length``."""
        is_long = self._watch is None and length > keepalive.MAX_SHORT_BYTES
        if is_long is self._has_long_body or self.transport is None:
            return
        self._has_long_body = is_long
        keepalive.set_user_timeout(
            self.transport.get_extra_info('socket'), is_long=is_long
        )

    def data_received(self, data: bytes) -> None:
        """Process bytes of an answer; abort on bytes while idle."""
        # An empty call only signals that reading resumes.
        if self.is_idle and data:
            self.abort()
            return
        payload = self._payload
        was_whole = payload is None or payload.is_eof()
        super().data_received(data)
        if not was_whole and self.exception() is not None:
            _mark_broken(payload)
        if self._endless.exceed(len(data), self._payload):
            self._end_as_endless()

    def begin_exchange(self, accepts: Accepts | None) -> None:
        """Expect the answer to a new request, the one that ``accepts`` knows."""
        self.is_idle = False
        self.accepts = accepts
        self._has_skipped = False
        self._endless.begin()
        if self._watch is not None:
            self._watch.start()

    def is_stale(self, made_since_s: float) -> bool:
        """Return whether the target closed or sent data without an exchange.

        The event loop may not have read that yet, so this polls the socket.
        A connection made before ``made_since_s`` is stale, too.
        """
        if self.should_close or self.transport is None:
            return True
        if self.made_s < made_since_s:
            return True
        if self._loop.time() > self._idle_until_s:
            return True
        return self._is_readable()

    def mark_idle(self) -> None:
        """Mark the connection as idle after an exchange."""
        self.is_idle = True
        self.is_reused = True
        self.accepts = None
        self._stop_watching()

    def _stop_watching(self) -> None:
        if self._watch is not None:
            self._watch.stop()

    def _end_as_endless(self) -> None:
        """Fail the exchange; the target would send on until it is closed."""
        reason = 'The target sends bytes that are no answer, without end'
        self.set_exception(http_exceptions.BadHttpMessage(reason))
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(
                client_exceptions.ClientPayloadError(reason)
                if self._endless.has_begun
                else http_exceptions.BadHttpMessage(reason)
            )
        if self.transport is not None:
            self.transport.abort()

    def _is_readable(self) -> bool:
        """Return whether bytes or the end of the connection are unread."""
        assert self.transport is not None  # noqa: S101 - the callers checked it
        poller = select.poll()
        poller.register(
            self.transport.get_extra_info('socket').fileno(),
            select.POLLIN,
        )
        return bool(poller.poll(0))

    def _is_accepted(self, message: Any) -> bool:
        return self.accepts is None or self.accepts(
            message.code, message.headers
        )

    def _record_idle_timeout(self, message: Any) -> None:
        """Compute until when the idle connection may be reused."""
        stated = _TIMEOUT.search(message.headers.get(_KEEP_ALIVE, ''))
        if stated:
            idle_s = _IDLE_TIMEOUT_SHARE * int(stated.group(1))
            self._idle_until_s = self._loop.time() + idle_s


class GuardedConnector(connector.BaseConnector):
    """Creates guarded connections; the slots of the queue limit their number.

    Targets and peers have IP addresses and no TLS, so this skips name
    resolution and the choice between several addresses.
    """

    def __init__(self, *, force_close: bool) -> None:
        """Keep idle connections, or none with ``force_close``."""
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
        _, protocol = await connect(
            self._new_handler,
            req.host,
            req.port or _HTTP_PORT,
            timeout.sock_connect,
        )
        return protocol

    def _new_handler(self) -> GuardedHandler:
        return GuardedHandler(self._loop)


async def connect(
    new_protocol: Callable[[], _Protocol],
    host: str,
    port: int,
    timeout_s: float | None,
) -> tuple[asyncio.Transport, _Protocol]:
    """Return a new connection with its protocol.

    A connection that the kernel has made is returned, too, if this process was
    too late to see it in time. Raises an ``OSError``.
    """
    loop = asyncio.get_running_loop()
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    with contextlib.ExitStack() as stack:
        connecting = stack.enter_context(socket.socket(family))
        connecting.setblocking(False)
        try:
            async with asyncio.timeout(timeout_s):
                await loop.sock_connect(connecting, (host, port))
        except TimeoutError:
            _require_connected(connecting)
        # From here on the transport owns the socket.
        stack.pop_all()
    return await loop.create_connection(new_protocol, sock=connecting)


def _mark_broken(payload: streams.StreamReader | None) -> None:
    """Fail a body that came with bytes that are invalid HTTP.

    This also holds if the body has its length: one that the target broke off is
    filled up with what comes next, and ends where no answer begins.
    """
    if payload is not None and payload.exception() is None:
        payload.set_exception(
            client_exceptions.ClientPayloadError(
                'Invalid HTTP within the body or at its end',
            ),
        )


def _require_connected(connecting: socket.socket) -> None:
    """Raise ``TimeoutError`` unless the connection was made, or its error."""
    error = connecting.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error:
        raise OSError(error, os.strerror(error))
    try:
        connecting.getpeername()
    except OSError as not_connected:
        raise TimeoutError(
            errno.ETIMEDOUT, 'No connection in time'
        ) from not_connected
