"""A stand-in target: slots, shedding, drain, cold start and faults.

It serves any path with any method. ``/health`` says that all is well
whatever the fault, and ``/load`` lags, as the real ones do. The paths under
``/control/`` are for tests only::

    POST /control/fault        a target_faults.Fault as JSON
    POST /control/drain        start to drain
    GET  /control/executions   executions by key and by tag

An execution counts from the moment its work starts: the whole request was
read and a slot was taken.
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
    """One target in the event loop of the caller.

    For example::

        standin = TargetStandin(
            target_settings.TargetStandinSettings('t1'),
            clock.SystemClock(),
            random.Random(1),
        )
        port = await standin.start('127.0.0.1', 0)
        ...
        await standin.stop()

    ``on_crash`` is called when a poisoned request runs. Without it the
    target drops all of its connections and goes on, like a process that is
    restarted at once.
    """

    def __init__(
        self,
        options: target_settings.TargetStandinSettings,
        time_source: clock.Clock,
        random_source: random.Random,
        on_crash: Callable[[], None] | None = None,
    ) -> None:
        """Build a target that does not listen yet."""
        self._work = target_runner.RequestRunner(
            options,
            time_source,
            random_source,
            on_crash or self.drop_connections,
        )
        self._body_limit_bytes = options.body_limit_bytes
        self._load = target_load.LaggingLoad(time_source, options.load_lag_ms)
        self._runner: web.AppRunner | None = None

    async def start(self, ip: str, port: int) -> int:
        """Listen at ``ip`` and ``port`` and return the bound port.

        Raises ``OSError`` when the port is taken.
        """
        self._runner = web.AppRunner(
            self._application(),
            handler_cancellation=True,
            access_log=None,
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, ip, port)
        await site.start()
        return int(self._runner.addresses[0][1])

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._runner is not None:
            self.drop_connections()
            await self._runner.cleanup()
            self._runner = None
        self._work.executions.close()

    def set_fault(self, fault: target_faults.Fault) -> None:
        """Put ``fault`` in force in place of the one before."""
        self._work.faults.set_fault(fault)

    def drain(self) -> None:
        """Say ``Draining`` on each answer, and refuse work ``drain_ms`` on."""
        self._work.drain.start()

    async def drained(self) -> None:
        """Return once work is refused and none is in flight."""
        while self._work.in_flight or not self._work.drain.refuses:
            await asyncio.sleep(_DRAIN_POLL_S)

    def counts(self) -> target_executions.ExecutionCounts:
        """Return the executions so far."""
        return self._work.executions.counts()

    def drop_connections(self) -> None:
        """Drop all connections at once, answered or not."""
        if self._runner is None or self._runner.server is None:
            return
        for connection in self._runner.server.connections:
            connection.force_close()

    def _application(self) -> web.Application:
        application = web.Application(client_max_size=self._body_limit_bytes)
        router = application.router
        router.add_get('/health', self._serve_health)
        router.add_get('/load', self._serve_load)
        router.add_post('/control/fault', self._serve_fault)
        router.add_post('/control/drain', self._serve_drain)
        router.add_get('/control/executions', self._serve_counts)
        router.add_route('*', '/{path:.*}', self._work.serve)
        application.on_response_prepare.append(self._mark_draining)
        return application

    async def _serve_health(self, request: web.Request) -> web.Response:
        """Mislead: a target with a fault says that it is healthy."""
        return web.json_response({'healthy': True})

    async def _serve_load(self, request: web.Request) -> web.Response:
        load = self._load.read(self._work.in_flight)
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
        if self._work.drain.started:
            name = target_answers.DRAINING_HEADER
            response.headers[name] = target_answers.DRAINING_VALUE
