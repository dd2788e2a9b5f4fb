"""Servers of single pages, each at its own address."""

from sardinepier.entry import caller_server, pages
from sardinepier.telemetry import logs
from sardinepier.wire import messages


class PageServers:
    """Serves pages at the addresses in the settings, until closed."""

    def __init__(
        self, bounds: caller_server.BoundsGetter, max_connections: int
    ) -> None:
        """Limit requests by ``bounds``, and the connections to each page.

        Nothing is opened yet.
        """
        self._bounds = bounds
        self._max_connections = max_connections
        self._servers: list[caller_server.HttpServer] = []

    async def open(
        self,
        page: pages.Page,
        address: messages.PeerAddress | None,
    ) -> None:
        """Serve ``page``; raise ``OSError`` if the address is in use."""
        if address is None:
            return
        server = caller_server.HttpServer(
            page.handle,
            self._bounds,
            max_connections=self._max_connections,
        )
        await server.start(address.ip, address.port)
        self._servers.append(server)

    async def open_if_free(
        self,
        page: pages.Page,
        address: messages.PeerAddress | None,
    ) -> None:
        """Serve ``page`` unless the address is in use, which is logged.

        Meant for metrics: an occupied port for them must not prevent the
        instance from serving requests.
        """
        try:
            await self.open(page, address)
        except OSError as error:
            logs.failure('metrics-unavailable', error, address=str(address))

    async def close(self) -> None:
        """Close all servers without waiting for requests in flight."""
        for server in self._servers:
            await server.close(0)
