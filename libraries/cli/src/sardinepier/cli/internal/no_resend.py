"""Keeps aiohttp from sending a request a second time by itself."""

import aiohttp


class NoResend:
    """A client middleware for exactly one request.

    After a lost connection aiohttp sends GET, PUT, DELETE and a few other
    methods once more, also when the connection was new. Whether that is safe
    is told by the operators' file and not by the method. The public interface
    has no switch for it; it does pass every sending through the middlewares.
    """

    def __init__(self) -> None:
        """Let the first sending through."""
        self._lost: aiohttp.ClientError | None = None

    async def __call__(
        self,
        request: aiohttp.ClientRequest,
        handler: aiohttp.ClientHandlerType,
    ) -> aiohttp.ClientResponse:
        """Send ``request``, or repeat the error of its first sending."""
        if self._lost is not None:
            raise self._lost
        try:
            return await handler(request)
        except aiohttp.ClientError as problem:
            self._lost = problem
            raise
