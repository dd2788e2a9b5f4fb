"""A stand-in target: slots, shedding, drain, cold start and faults.

It serves any path with any method. Like real targets, ``/health`` reports a
healthy target whatever the fault, and ``/load`` lags. The paths under
``/control/`` are for tests only::

    POST /control/fault        a target_faults.Fault as JSON
    POST /control/drain        start to drain
    GET  /control/executions   executions by key and by tag

An execution counts once it starts, when the whole request was read and has
a slot.
"""

import asyncio
import http
import random
from collections.abc import Callable
from typing import Final

import msgspec
from aiohttp import web

from sardinepier.core import clock
from sardinepier.standins import (
    target_answers,
    target_executions,
    target_faults,
    target_settings,
)
from sardinepier.standins.internal import (
    target_load,
    target_replies,
    target_runner,
)

_DRAIN_POLL_S: Final = 0.02


class TargetStandin:
    """A target that runs in the current event loop.

    For example::

        standin = TargetStandin(
            target_settings.TargetStandinSettings('t1'),
            clock.SystemClock(),
            random.Random(1),
        )
        port = await standin.start('127.0.0.1', 0)
        ...
        await standin.stop()

    ``on_crash`` is called when a poisoned request runs. By default the target
    drops all of its connections and continues, like a process that is
    restarted at once.
    """

    def __init__(
        self,
        options: target_settings.TargetStandinSettings,
        time_source: clock.Clock,
        random_source: random.Random,
        on_crash: Callable[[], None] | None = None,
    ) -> None:
        """Create a target that does not listen yet."""
        self._request_runner = target_runner.RequestRunner(
            options,
            time_source,
            random_source,
            on_crash or self.drop_connections,
        )
        self._body_limit_bytes = options.body_limit_bytes
        self._load = target_load.LaggingLoad(time_source, options.load_lag_ms)
        self._app_runner: web.AppRunner | None = None

    async def start(self, ip: str, port: int) -> int:
        """Listen at ``ip`` and ``port`` and return the bound port.

        Raises ``OSError`` when the port is taken.
        """
        self._app_runner = web.AppRunner(
            self._application(),
            handler_cancellation=True,
            access_log=None,
        )
        await self._app_runner.setup()
        site = web.TCPSite(self._app_runner, ip, port)
        await site.start()
        return int(self._app_runner.addresses[0][1])

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._app_runner is not None:
            self.drop_connections()
            await self._app_runner.cleanup()
            self._app_runner = None
        self._request_runner.executions.close()

    def set_fault(self, fault: target_faults.Fault) -> None:
        """Replace the current fault."""
        self._request_runner.faults.set_fault(fault)

    def drain(self) -> None:
        """Announce draining at once and refuse requests after ``drain_ms``."""
        self._request_runner.drain.start()

    async def drained(self) -> None:
        """Wait until requests are refused and none is in flight."""
        while (
            self._request_runner.in_flight
            or not self._request_runner.drain.refuses
        ):
            await asyncio.sleep(_DRAIN_POLL_S)

    def counts(self) -> target_executions.ExecutionCounts:
        """Return the counts of executions so far."""
        return self._request_runner.executions.counts()

    def drop_connections(self) -> None:
        """Drop all connections at once, even those with requests in flight."""
        if self._app_runner is None or self._app_runner.server is None:
            return
        for connection in self._app_runner.server.connections:
            connection.force_close()

    def _application(self) -> web.Application:
        application = web.Application(client_max_size=self._body_limit_bytes)
        router = application.router
        router.add_get('/health', self._serve_health)
        router.add_get('/load', self._serve_load)
        router.add_post('/control/fault', self._serve_fault)
        router.add_post('/control/drain', self._serve_drain)
        router.add_get('/control/executions', self._serve_counts)
        router.add_route('*', '/{path:.*}', self._request_runner.serve)
        application.on_response_prepare.append(self._mark_draining)
        return application

    async def _serve_health(self, request: web.Request) -> web.Response:
        """Report a healthy target, even if it has a fault."""
        return web.json_response({'healthy': True})

    async def _serve_load(self, request: web.Request) -> web.Response:
        load = self._load.read(self._request_runner.in_flight)
        return web.json_response({'in_flight': load})

    async def _serve_fault(self, request: web.Request) -> web.Response:
        body = await request.read()
        try:
            fault = msgspec.json.decode(body, type=target_faults.Fault)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return target_replies.fail(http.HTTPStatus.BAD_REQUEST, str(error))
        self.set_fault(fault)
        return target_replies.answer(fault)

    async def _serve_drain(self, request: web.Request) -> web.Response:
        self.drain()
        return web.json_response({'draining': True})

    async def _serve_counts(self, request: web.Request) -> web.Response:
        return target_replies.answer(self.counts())

    async def _mark_draining(
        self,
        request: web.Request,
        response: web.StreamResponse,
    ) -> None:
        if self._request_runner.drain.started:
            name = target_answers.DRAINING_HEADER
            response.headers[name] = target_answers.DRAINING_VALUE
