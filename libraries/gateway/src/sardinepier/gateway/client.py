"""The client towards targets and peers, with the connections that it keeps.

What must hold for each request is in :mod:`sardinepier.gateway.outgoing`, and
for each connection in :mod:`sardinepier.gateway.connections`.
"""

import asyncio
import contextlib
import functools
from collections.abc import Callable
from typing import Final

import yarl
from aiohttp import client, client_reqrep

from sardinepier.gateway import connections, errors, outgoing

_STALE_TRIES: Final = 4
_TIMEOUTS_KEPT: Final = 64
_RETRY_AFTER_S: Final = 1.0
_ANYTHING: Final = connections.Expectation()


class TargetClient:
    """Keeps the connections to targets and peers; one a process."""

    def __init__(self) -> None:
        """Open no connection yet. Needs a running event loop."""
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
        body: bytes,
        *,
        fresh: bool,
        connect_timeout_s: float,
        permit: Callable[[], None],
        path: str | None = None,
        expects: connections.Expectation = _ANYTHING,
    ) -> client_reqrep.ClientResponse:
        """Send a request and return the answer once its headers are there.

        ``path`` goes out byte for byte as the request's path and query; by
        default it is that of ``url``. ``fresh`` takes a new connection that
        is not kept. ``permit`` is called right before the first byte. Answers
        and connections that ``expects`` turns down are passed over. Raises ``ConnectFailedError`` if
        nothing was sent, ``ConnectionLostError`` or ``BadAnswerError`` if
        something was, and what ``permit`` raises.
        """
        for left in range(_STALE_TRIES, -1, -1):
            pool = self._fresh if fresh or not left else self._pooled
            request = outgoing.Request(
                method,
                url,
                headers=headers,
                data=body or None,
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
