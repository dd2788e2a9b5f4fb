"""Connections to targets and peers that never give the answer of another.

One on which the target spoke or which it closed while nobody asked is never
used again, because the next request would read the answer of another.
"""

import asyncio
import select
from typing import Final

from aiohttp import client, client_proto, client_reqrep, connector, tracing

_HTTP_PORT: Final = 80
_KEEPALIVE_S: Final = 15.0


class GuardedHandler(client_proto.ResponseHandler):
    """A connection that closes when the target speaks unasked."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start without an exchange."""
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
