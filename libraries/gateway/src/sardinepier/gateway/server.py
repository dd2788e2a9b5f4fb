"""The HTTP server for callers."""

import asyncio
import math
from collections.abc import Awaitable, Callable
from typing import Final

from aiohttp import web_request, web_response

from sardinepier.core import errors as core_errors
from sardinepier.core import outcomes
from sardinepier.gateway import (
    addresses,
    headers,
    pipeline,
    problems,
    protocol,
    refusals,
)
from sardinepier.gateway import context as contexts

Handler = Callable[
    [web_request.BaseRequest],
    Awaitable[web_response.StreamResponse],
]

_PAGES_PREFIX: Final = '/v1/'


class CallerServer:
    """Serves the requests to services, and the daemon's pages under ``/v1/``.

    For example::

        server = CallerServer(context)
        server.add_page('/v1/status', status_page)
        port = await server.start('10.0.0.7', 8080)
    """

    def __init__(self, context: contexts.GatewayContext) -> None:
        """Create the server without binding a port."""
        self._context = context
        self._pipeline = pipeline.Pipeline(context)
        self._pages: dict[str, Handler] = {
            addresses.PATH: addresses.Addresses(context).handle,
        }
        self._connections = protocol.CallerConnections(self._dispatch)

    def add_page(self, path: str, handler: Handler) -> None:
        """Serve ``GET <path>`` with ``handler``; the path begins with /v1/.

        Errors of this project that it raises become problem documents.
        """
        self._pages[path] = handler

    async def start(self, ip: str, port: int) -> int:
        """Listen, and return the port; the system chooses one for 0."""
        return await self._connections.start(ip, port)

    def begin_draining(
        self, accept_until_s: float = math.inf, exit_s: float = math.inf
    ) -> None:
        """Direct callers to other daemons.

        The address lists omit this daemon, and every answer closes its
        connection. All requests are served until ``accept_until_s``, after that
        those that end before ``exit_s``; both are times of the daemon's clock.
        """
        self._context.activity.begin_draining(accept_until_s, exit_s)

    def stop_listening(self) -> None:
        """Accept no new connections; open ones are still served."""
        self._connections.stop_listening()

    async def close(self, finish_s: float) -> int:
        """Close each connection as soon as its answers are sent.

        Returns how many requests were unfinished after ``finish_s`` seconds.
        Shortly before, their callers are told so.
        """
        self.stop_listening()
        activity = self._context.activity
        unfinished = 0
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(
                self._connections.drain(finish_s, activity.cut_off)
            )
            # Keyed requests continue without their callers.
            try:
                async with asyncio.timeout(finish_s):
                    await activity.wait_until_idle()
            except TimeoutError:
                unfinished = activity.in_flight
        return max(unfinished, activity.cut_off_requests)

    async def _dispatch(
        self,
        request: web_request.BaseRequest,
    ) -> web_response.StreamResponse:
        if not request.raw_path.startswith(_PAGES_PREFIX):
            return await self._pipeline.handle(request)
        try:
            response = await self._page(request)
        except core_errors.SardinepierError as error:
            response = problems.answer(error, request.raw_path)
        completed = outcomes.Outcome.COMPLETED.value
        response.headers.setdefault(headers.OUTCOME, completed)
        if self._context.activity.is_draining:
            response.force_close()
        return response

    async def _page(
        self,
        request: web_request.BaseRequest,
    ) -> web_response.StreamResponse:
        handler = self._pages.get(request.path)
        if handler is None:
            raise refusals.UnknownRouteError(
                'The daemon has no such page',
                f'Use one of {", ".join(sorted(self._pages))}',
            )
        if request.method not in {'GET', 'HEAD'}:
            raise refusals.MethodNotAllowedError(
                "The daemon's own pages are read-only",
                'Use GET',
            )
        return await handler(request)
