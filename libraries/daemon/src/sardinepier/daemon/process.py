"""Runs one daemon, from its settings to its exit."""

import asyncio
import contextlib
import functools
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
    """One ``sardinepierd`` daemon.

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
        self._stop_reason = ''
        self._tasks = task_set.TaskSet(self._on_task_failure)

    @property
    def state(self) -> status_document.DaemonState:
        """The lifecycle state of the daemon."""
        return self._state

    def stop(self, reason: str) -> None:
        """Begin the graceful exit; a second call changes nothing."""
        if not self._stop.is_set():
            self._stop_reason = reason
            self._stop.set()

    async def run(self) -> None:
        """Serve until stopped.

        Raises ``HttpPortError`` when the address for callers is in use, and
        an error of the wire library when the address for peers is.
        """
        self._install_signal_handlers()
        core = assembly.build_core(self._settings)
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(core.platform.close)
            stack.push_async_callback(self._tasks.cancel)
            await self._serve(core, stack)
        if self._tasks.failure is not None:
            raise self._tasks.failure

    async def _serve(
        self,
        core: assembly.CoreParts,
        stack: contextlib.AsyncExitStack,
    ) -> None:
        self._tasks.start(core.network.run())
        self._tasks.supervise('membership', core.membership.run)
        self._tasks.start(core.distributor.run())
        configuration = await first_configuration.wait_for(
            core.store,
            self._stop,
        )
        if configuration is None:
            return
        context = gateway_assembly.build_context(core, configuration)
        stack.push_async_callback(context.client.close)
        self._start_request_path(core, context, configuration)
        caller_server = await self._listen(core, context)
        await self._stop.wait()
        await self._shut_down(core, context, caller_server)

    def _start_request_path(
        self,
        core: assembly.CoreParts,
        context: contexts.GatewayContext,
        configuration: model.Configuration,
    ) -> None:
        follower = followers.ConfigurationFollower(
            context,
            core.platform,
            core.membership,
        )
        core.store.on_change(follower.follow)
        follower.follow(configuration)
        exchange = exchange_assembly.build_exchange(core, context)
        maintenance_loop = maintenance.MaintenanceLoop(
            context, exchange, probes.Probes(context)
        )
        self._tasks.supervise('maintenance', maintenance_loop.run)
        self._tasks.supervise(
            'records', functools.partial(maintenance.expire_records, context)
        )
        self._tasks.start(maintenance.tune_garbage_collection())
        self._tasks.supervise('refusals', context.refusals.run)

    async def _listen(
        self,
        core: assembly.CoreParts,
        context: contexts.GatewayContext,
    ) -> server.CallerServer:
        caller_server = server.CallerServer(context)
        pages.Pages(
            status_document.StatusSource(context, core.store, core.network),
            lambda: self._state,
            core.metrics,
            core.recorder.timeline,
        ).add_to(caller_server)
        settings = self._settings
        try:
            await caller_server.start(settings.address_ip, settings.http_port)
        except OSError as error:
            raise _port_error(settings, error) from error
        self._state = status_document.DaemonState.SERVING
        core.recorder.record(_started(core))
        return caller_server

    async def _shut_down(
        self,
        core: assembly.CoreParts,
        context: contexts.GatewayContext,
        caller_server: server.CallerServer,
    ) -> None:
        configuration = context.configuration()
        if configuration is None:
            return
        await graceful_shutdown.GracefulShutdown(
            caller_server,
            context.activity,
            core.membership,
            core.clock,
            core.recorder.record,
            self._set_state,
        ).run(configuration.fleet, self._stop_reason)

    def _set_state(self, state: status_document.DaemonState) -> None:
        self._state = state

    def _on_task_failure(self, failure: BaseException) -> None:
        self.stop(f'{type(failure).__name__} in a part of the daemon')

    def _install_signal_handlers(self) -> None:
        loop = asyncio.get_running_loop()
        for exit_signal in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(exit_signal, self.stop, exit_signal.name)


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


def _started(core: assembly.CoreParts) -> daemon_events.DaemonStarted:
    settings = core.settings
    peer = core.network.sender.address
    return daemon_events.DaemonStarted(
        daemon_id=settings.daemon_id,
        zone=settings.zone,
        http_address=f'{settings.address_ip}:{settings.http_port}',
        peer_address=f'{peer.ip}:{peer.port}',
    )
