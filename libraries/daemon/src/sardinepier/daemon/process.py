"""The life of one daemon, from its settings to its exit."""

import asyncio
import contextlib
import signal

from sardinepier.daemon import errors
from sardinepier.daemon.internal import (
    assembly,
    exchange_assembly,
    first_configuration,
    gateway_assembly,
    graceful_shutdown,
    pages,
    status_document,
    task_set,
)
from sardinepier.daemon.internal import configuration_follower as followers
from sardinepier.daemon.internal import maintenance
from sardinepier.gateway import context as contexts
from sardinepier.gateway import probes, server
from sardinepier.settings import model
from sardinepier.telemetry import daemon_events


class Daemon:
    """One ``sardinepierd``.

    For example::

        daemon = Daemon(parsing.read_instance('entry-1.ini'))
        await daemon.run()

    ``run`` returns after a graceful exit, which ``stop`` or the signals
    SIGTERM and SIGINT begin.
    """

    def __init__(self, settings: model.InstanceSettings) -> None:
        """Keep the settings; nothing is opened yet."""
        self._settings = settings
        self._state = status_document.DaemonState.STARTING
        self._stop = asyncio.Event()
        self._reason = ''
        self._tasks = task_set.TaskSet(self._part_failed)

    @property
    def state(self) -> status_document.DaemonState:
        """How far the daemon is."""
        return self._state

    def stop(self, reason: str) -> None:
        """Begin the graceful exit; a second call changes nothing."""
        if not self._stop.is_set():
            self._reason = reason
            self._stop.set()

    async def run(self) -> None:
        """Serve until stopped.

        Raises ``HttpPortError`` when the address for callers is taken, and
        the wire library's errors when the one for peers is.
        """
        self._catch_signals()
        base = assembly.build_foundation(self._settings)
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(base.platform.close)
            stack.push_async_callback(self._tasks.cancel)
            await self._serve(base, stack)
        if self._tasks.failure is not None:
            raise self._tasks.failure

    async def _serve(
        self,
        base: assembly.Foundation,
        stack: contextlib.AsyncExitStack,
    ) -> None:
        self._tasks.start(base.network.run())
        self._tasks.start(base.membership.run())
        self._tasks.start(base.distributor.run())
        configuration = await first_configuration.wait_for(
            base.store,
            self._stop,
        )
        if configuration is None:
            return
        context = gateway_assembly.build_context(base, configuration)
        stack.push_async_callback(context.client.close)
        self._start_request_path(base, context, configuration)
        caller_server = await self._listen(base, context)
        await self._stop.wait()
        await self._depart(base, context, caller_server)

    def _start_request_path(
        self,
        base: assembly.Foundation,
        context: contexts.GatewayContext,
        configuration: model.Configuration,
    ) -> None:
        follower = followers.ConfigurationFollower(
            context,
            base.platform,
            base.membership,
        )
        base.store.on_change(follower.follow)
        follower.follow(configuration)
        exchange = exchange_assembly.build_exchange(base, context)
        upkeep = maintenance.MaintenanceLoop(
            context, exchange, probes.Probes(context)
        )
        self._tasks.start(upkeep.run())
        self._tasks.start(maintenance.expire_records(context))
        self._tasks.start(maintenance.tune_garbage_collection())
        self._tasks.start(context.refusals.run())

    async def _listen(
        self,
        base: assembly.Foundation,
        context: contexts.GatewayContext,
    ) -> server.CallerServer:
        caller_server = server.CallerServer(context)
        pages.Pages(
            status_document.StatusSource(context, base.store, base.network),
            lambda: self._state,
            base.metrics,
            base.recorder.timeline,
        ).add_to(caller_server)
        settings = self._settings
        try:
            await caller_server.start(settings.address_ip, settings.http_port)
        except OSError as error:
            raise _port_error(settings, error) from error
        self._state = status_document.DaemonState.SERVING
        base.recorder.record(_started(base))
        return caller_server

    async def _depart(
        self,
        base: assembly.Foundation,
        context: contexts.GatewayContext,
        caller_server: server.CallerServer,
    ) -> None:
        configuration = context.configuration()
        if configuration is None:
            return
        await graceful_shutdown.GracefulShutdown(
            caller_server,
            context.activity,
            base.membership,
            base.clock,
            base.recorder.record,
            self._show_state,
        ).run(configuration.fleet, self._reason)

    def _show_state(self, state: status_document.DaemonState) -> None:
        self._state = state

    def _part_failed(self, failure: BaseException) -> None:
        self.stop(f'{type(failure).__name__} in a part of the daemon')

    def _catch_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop, number.name)


def _port_error(
    settings: model.InstanceSettings,
    error: OSError,
) -> errors.HttpPortError:
    return errors.HttpPortError(
        f'The address {settings.address_ip}:{settings.http_port} for callers '
        f'cannot be used ({error.strerror})',
        'Set address_ip and http_port of the instance file to a free address '
        'of this machine',
    )


def _started(base: assembly.Foundation) -> daemon_events.DaemonStarted:
    settings = base.settings
    peer = base.network.sender.address
    return daemon_events.DaemonStarted(
        daemon_id=settings.daemon_id,
        zone=settings.zone,
        http_address=f'{settings.address_ip}:{settings.http_port}',
        peer_address=f'{peer.ip}:{peer.port}',
    )
