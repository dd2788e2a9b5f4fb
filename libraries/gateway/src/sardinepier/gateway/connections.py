"""Connections to targets and peers that never give the answer of another.

One on which the target spoke or which it closed while nobody asked is never
used again, because the next request would read the answer of another. An
answer that comes late, where that of the next request is due, is passed over
when the exchange says how to tell.
"""

import asyncio
import dataclasses
import re
import select
from collections.abc import Callable
from typing import Any, Final

import multidict
from aiohttp import (
    client,
    client_exceptions,
    client_proto,
    client_reqrep,
    connector,
    tracing,
)

Accepts = Callable[[multidict.CIMultiDictProxy[str]], bool]
"""Tells by an answer's headers whether it belongs to the exchange."""


@dataclasses.dataclass(frozen=True, slots=True)
class Expectation:
    """What an exchange expects of its connection.

    ``accepts`` tells the answer of this request from one that comes late to
    an earlier one. A connection made before ``made_since_s``, a time of the
    event loop, is not used: whoever was there may be gone.
    """

    accepts: Accepts | None = None
    made_since_s: float = 0.0


_HTTP_PORT: Final = 80
_KEEPALIVE_S: Final = 15.0
_FIRST_FINAL_STATUS: Final = 200
_KEEP_ALIVE: Final = 'Keep-Alive'
_TIMEOUT: Final = re.compile(r'timeout=(\d+)')
_SHARE_OF_TIMEOUT: Final = 0.7
"""A kept connection rests for no more of the time that the target states: a
request that crosses the target's close is lost without anybody's fault."""


class GuardedHandler(client_proto.ResponseHandler):
    """A connection that closes when the target speaks unasked."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start without an exchange."""
        super().__init__(loop)
        self.is_idle = False
        self.is_reused = False
        self.made_s = loop.time()
        self.accepts: Accepts | None = None
        self._rests_until_s = float('inf')

    async def read(self) -> Any:
        """Return the answer of this exchange; others are passed over."""
        while True:
            message, payload = await super().read()
            is_final = message.code >= _FIRST_FINAL_STATUS
            if not is_final or self._is_accepted(message):
                self._note_timeout(message)
                return message, payload
            await payload.read()

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the exchange; an answer cut by a reset is not whole.

        Without a length an answer ends with its connection, and aiohttp
        takes any end for the end of the answer.
        """
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                client_exceptions.ClientPayloadError(
                    'The connection was reset within the answer',
                ),
            )
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Take in bytes of an answer; unasked ones end the connection."""
        # Without data this only says that reading goes on.
        if self.is_idle and data:
            self.abort()
            return
        super().data_received(data)

    def is_stale(self, made_since_s: float) -> bool:
        """Tell whether the target closed or spoke while this was idle.

        The event loop may not have read that yet, so the socket is asked.
        One that was made before ``made_since_s`` is stale, too.
        """
        if self.should_close or self.transport is None:
            return True
        if self.made_s < made_since_s:
            return True
        if not self.is_reused:
            return False
        if self._loop.time() > self._rests_until_s:
            return True
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
        self.accepts = None

    def _is_accepted(self, message: Any) -> bool:
        return self.accepts is None or self.accepts(message.headers)

    def _note_timeout(self, message: Any) -> None:
        """Remember until when the target keeps the connection open."""
        stated = _TIMEOUT.search(message.headers.get(_KEEP_ALIVE, ''))
        if stated:
            rests_s = _SHARE_OF_TIMEOUT * int(stated.group(1))
            self._rests_until_s = self._loop.time() + rests_s


class GuardedConnector(connector.BaseConnector):
    """Makes guarded connections; slots of the queue bound their number.

    Targets and peers are IP numbers without TLS: there is no name to look up
    and no choice of addresses to try side by side.
    """

    def __init__(self, *, force_close: bool) -> None:
        """Keep connections, or with ``force_close`` none."""
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

    def _guarded(self) -> GuardedHandler:
        return GuardedHandler(self._loop)
