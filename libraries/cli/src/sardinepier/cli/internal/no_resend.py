"""Disables the automatic resends of aiohttp."""

import aiohttp


class NoResend:
    """A client middleware for a single request.

    After a lost connection aiohttp resends GET, PUT, DELETE and a few other
    methods once, also when the connection was new. The service file decides
    whether that is safe, not the method. aiohttp has no public option to turn
    it off, but each send goes through the middlewares.
    """

    def __init__(self) -> None:
        """Allow one send."""
        self._connection_error: aiohttp.ClientError | None = None

    async def __call__(
        self,
        request: aiohttp.ClientRequest,
        handler: aiohttp.ClientHandlerType,
    ) -> aiohttp.ClientResponse:
        """Send ``request``, or raise the error of its first send again."""
        if self._connection_error is not None:
            raise self._connection_error
        try:
            return await handler(request)
        except aiohttp.ClientError as error:
            self._connection_error = error
            raise
