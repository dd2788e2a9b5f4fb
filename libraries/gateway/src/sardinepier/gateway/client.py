"""The HTTP client for targets and peers, with its connection pools.

:mod:`sardinepier.gateway.outgoing` states the guarantees for each request, and
:mod:`sardinepier.gateway.connections` those for each connection.
"""

import asyncio
import contextlib
import functools
from collections.abc import Callable
from typing import Final

import yarl
from aiohttp import client, client_reqrep

from sardinepier.gateway import (
    connections,
    errors,
    outgoing,
    request_body,
)

_MAX_STALE_RETRIES: Final = 4
_MAX_CACHED_TIMEOUTS: Final = 64
_RETRY_AFTER_S: Final = 1.0
_NO_EXPECTATION: Final = connections.Expectation()


class TargetClient:
    """Sends requests to targets and peers; each process has one client."""

    def __init__(self) -> None:
        """Create empty pools. Needs a running event loop."""
        self._loop = asyncio.get_running_loop()
        self._pooled = connections.GuardedConnector(force_close=False)
        self._fresh = connections.GuardedConnector(force_close=True)

    async def close(self) -> None:
        """Close all connections."""
        await self._pooled.close()
        await self._fresh.close()

    async def open(
        self,
        method: str,
        url: yarl.URL,
        headers: list[tuple[str, str]],
        body: request_body.RequestBody,
        *,
        fresh: bool,
        connect_timeout_s: float,
        permit: Callable[[], None],
        path: str | None = None,
        expects: connections.Expectation = _NO_EXPECTATION,
    ) -> client_reqrep.ClientResponse:
        """Send a request and return the answer once its headers arrived.

        ``path`` is sent byte for byte as the path and query; by default it is
        that of ``url``. With ``fresh`` the request uses a new connection that
        is not kept. ``permit`` is called right before the first byte. Answers
        and connections that ``expects`` rejects are skipped. Raises
        ``ConnectFailedError`` if nothing was sent, ``ConnectionLostError`` or
        ``BadAnswerError`` if something was, and what ``permit`` raises.
        """
        for retries_left in range(_MAX_STALE_RETRIES, -1, -1):
            pool = self._fresh if fresh or not retries_left else self._pooled
            request = outgoing.Request(
                method,
                url,
                headers=headers,
                data=outgoing.PartsPayload(body) if body else None,
                loop=self._loop,
            )
            request.path = path or url.raw_path_qs
            request.content = body
            request.expects = expects
            with contextlib.suppress(errors.StaleConnectionError):
                return await outgoing.Exchange(request, permit).run(
                    pool,
                    _timeout(connect_timeout_s),
                )
        raise _no_connection()

    async def check_connection(
        self, ip: str, port: int, timeout_s: float
    ) -> None:
        """Make a connection and close it.

        Raises ``ConnectFailedError`` or ``NoDescriptorError``.
        """
        try:
            transport, _ = await connections.connect(
                asyncio.Protocol, ip, port, timeout_s
            )
        except OSError as error:
            raise outgoing.connect_error(error) from error
        transport.close()


def _no_connection() -> errors.ConnectFailedError:
    return errors.ConnectFailedError(
        'The target closes each connection as soon as it is open',
        'Send the request again',
        _RETRY_AFTER_S,
    )


@functools.lru_cache(maxsize=_MAX_CACHED_TIMEOUTS)
def _timeout(connect_timeout_s: float) -> client.ClientTimeout:
    return client.ClientTimeout(
        total=None,
        sock_connect=connect_timeout_s,
    )
