"""The small servers beside the request path, each at an address of its own."""

from sardinepier.entry import caller_server, pages
from sardinepier.telemetry import logs
from sardinepier.wire import messages


class PageServers:
    """Opens pages where the settings name an address, and closes them."""

    def __init__(self, bounds: caller_server.BoundsGetter) -> None:
        """Bound what may be sent by ``bounds``; nothing is opened yet."""
        self._bounds = bounds
        self._servers: list[caller_server.HttpServer] = []

    async def open(
        self,
        page: pages.Page,
        address: messages.PeerAddress | None,
    ) -> None:
        """Serve ``page``; raise ``OSError`` when the address is taken."""
        if address is None:
            return
        server = caller_server.HttpServer(page.handle, self._bounds)
        await server.start(address.ip, address.port)
        self._servers.append(server)

    async def open_if_free(
        self,
        page: pages.Page,
        address: messages.PeerAddress | None,
    ) -> None:
        """Serve ``page`` unless somebody else has the address.

        For figures: no request may suffer from their port.
        """
        try:
            await self.open(page, address)
        except OSError as error:
            logs.failure('metrics-unavailable', error, address=str(address))

    async def close(self) -> None:
        """Close all pages at once."""
        for server in self._servers:
            await server.close(0)
