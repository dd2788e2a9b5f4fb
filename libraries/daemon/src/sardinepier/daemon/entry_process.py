"""Runs one entry instance, from its settings to its exit."""

import asyncio
import contextlib
import dataclasses
import functools
import gc
import random
import signal
from collections.abc import Callable, Sequence
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.daemon import entry_events, entry_settings, identity
from sardinepier.daemon.internal import (
    entry_metrics,
    entry_parts,
    page_servers,
    peer_traffic,
    relays,
    task_set,
)
from sardinepier.entry import (
    caller_server,
    decision_log,
    model,
    pages,
    path_check,
    pipeline,
    platform_state,
    service_registry,
)
from sardinepier.entry import context as contexts
from sardinepier.gateway import active_requests, descriptors
from sardinepier.health import failure_estimate
from sardinepier.telemetry import logs
from sardinepier.wire import messages
from sardinepier.zones import (
    burst_share,
    carriers,
    expired_entries,
    platform_reader,
    quarantine_sharing,
    sharing,
    zone_load,
)

_DIRECTORY_LIFETIME_S: Final = 1.0
"""For how long callers may cache the addresses that the directory returns.
Callers keep sending to a failed carrier for up to this long; a shorter time
means more requests to the directory."""

_RETRY_RATIO_SHARE: Final = 0.9
"""Fraction of the allowed retry ratio that is used. The ratio must hold in
every sliding window, in which attempts may be spent for requests that came up to
``fleet_budget.LIFETIME_S`` before it."""

_REVOCATION_MARGIN_S: Final = 0.1
"""Deducted from the time within which a withdrawn key must stop working,
because clocks run at slightly different rates."""

_MAINTENANCE_INTERVAL_S: Final = 0.5

_PERCENT: Final = 100
_EXIT_RESERVE_S: Final = 0.4
"""Part of the grace time reserved for the exit of the process."""

_STALE_DIRECTORY_FACTOR: Final = 3
"""Some callers cache a directory answer for this multiple of its lifetime."""


@dataclasses.dataclass(frozen=True, slots=True)
class EntryPages:
    """Paths of the pages outside the request path, and their address format."""

    directory_path: str = '/v1/addresses'
    ready_path: str = '/v1/ready'
    metrics_path: str = '/metrics'
    encode_addresses: Callable[[Sequence[str], float], bytes] = (
        pages.encode_addresses
    )


class EntryDaemon:
    """One entry instance.

    For example::

        daemon = EntryDaemon(settings, source, EntryPages())
        await daemon.run()

    ``run`` returns after a graceful exit, which SIGTERM or SIGINT begins.
    """

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        source: platform_state.PublishedState,
        entry_pages: EntryPages,
    ) -> None:
        """Build the parts of the instance; nothing is opened yet."""
        self._settings = settings
        self._pages = entry_pages
        self._clock = clocks.SystemClock()
        self._random = random.Random()
        self._activity = active_requests.ActiveRequests()
        self._stop = asyncio.Event()
        self._connections_cut = 0
        self._tasks = task_set.TaskSet(self._on_task_failure)
        self._services = service_registry.ServiceRegistry(
            settings.zone,
            self._clock,
            self._random,
            _PERCENT * settings.bounds.retry_ratio * _RETRY_RATIO_SHARE,
            failure_estimate.EstimateOptions(),
            settings.bounds.min_used_share,
            _max_confirmation_age_s(settings.bounds),
            settings.bounds.leeway,
        )
        self._instance_id = identity.new_instance_id(
            settings.daemon_id,
            random.SystemRandom(),
        )
        self._network = entry_parts.build_network(
            settings,
            self._instance_id,
            self._clock,
        )
        self._membership = entry_parts.build_membership(
            settings,
            self._network,
            self._clock,
            self._random,
        )
        self._carriers = carriers.Carriers(
            self._membership,
            self._clock,
        )
        self._burst_share = burst_share.BurstShare(
            self._clock,
            settings.bounds.zones,
            settings.bounds.retry_burst,
        )
        self._guard = expired_entries.ExpiredEntryGuard(self._clock)
        self._services.targets_age_s = self._guard.age_s
        self._sharing = sharing.ZoneSharing(
            self._network,
            self._carriers,
            self._services,
            self._guard,
            zone_load.ZoneLoad(self._clock, self._activity),
            self._clock,
            self._random,
            entry_parts.log_configuration,
        )
        self._platform_reader = platform_reader.PlatformReader(
            source,
            self._services,
            self._carriers,
            self._guard,
            self._sharing,
            self._clock,
            self._random,
        )
        self._services.on_outcome = self._on_outcome
        self._services.confirmation.on_wait = self._sharing.request_early_beat

    def stop(self) -> None:
        """Begin the graceful exit; a second call changes nothing."""
        self._stop.set()

    def set_seeds(self, seeds: Sequence[messages.PeerAddress]) -> None:
        """Replace the peer addresses that the membership starts from."""
        self._membership.seed(seeds)

    async def run(self) -> None:
        """Serve until stopped."""
        loop = asyncio.get_running_loop()
        for exit_signal in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(exit_signal, self.stop)
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._tasks.cancel)
            await self._serve(stack)
        if self._tasks.failure is not None:
            raise self._tasks.failure
        counters = self._network.counters()
        logs.write(
            entry_events.Stopped(
                in_hand=self._activity.in_flight,
                connections_cut=self._connections_cut,
                peer_messages_sent=counters.messages_sent,
                peer_bytes_sent=counters.bytes_sent,
            ),
        )

    async def _serve(self, stack: contextlib.AsyncExitStack) -> None:
        self._network.open()
        self._membership.seed(self._settings.seeds)
        request_context = entry_parts.build_context(
            self._settings,
            self._services,
            self._activity,
            self._clock,
        )
        stack.push_async_callback(request_context.client.close)
        traffic = peer_traffic.PeerTraffic(
            self._network,
            request_context.metrics,
        )
        stack.callback(traffic.log)
        marks_sharing = quarantine_sharing.QuarantineSharing(
            self._network,
            self._carriers,
            request_context.quarantine,
            self._clock,
        )
        self._start_tasks(request_context.decision_log)
        self._tasks.supervise('quarantine', marks_sharing.run)
        self._tasks.supervise('traffic', traffic.run)
        request_relays = await self._open_relays(request_context)
        request_pipeline = pipeline.Pipeline(
            request_context, request_relays.relaying
        )
        front_server = caller_server.HttpServer(
            request_pipeline.handle,
            self._bounds,
            request_pipeline.start_pipelined,
            descriptors.caller_connections(self._settings.max_sockets),
        )
        await front_server.start(
            self._settings.front.ip, self._settings.front.port
        )
        page_metrics = entry_metrics.EntryMetrics(
            request_context.metrics,
            self._services,
            self._activity,
            self._guard,
            self._carriers,
            self._membership,
            self._platform_reader,
            self._clock,
            traffic,
            self._tasks,
        )
        opened_pages = await self._open_pages(page_metrics)
        logs.write(entry_parts.started(self._settings))
        gc.collect()
        gc.freeze()
        await self._stop.wait()
        await self._shut_down(front_server, request_relays, opened_pages)

    def _start_tasks(self, decisions: decision_log.DecisionLog) -> None:
        self._tasks.start(self._network.run())
        self._tasks.supervise('membership', self._membership.run)
        self._tasks.supervise('sharing', self._sharing.run)
        self._tasks.supervise(
            'maintenance', functools.partial(self._maintain, decisions)
        )
        self._tasks.start(self._platform_reader.run())

    async def _open_relays(
        self, request_context: contexts.EntryContext
    ) -> relays.Relays:
        request_relays = relays.Relays(
            self._settings,
            request_context,
            self._carriers,
            self._membership,
            self._random,
        )
        await request_relays.open()
        path_checker = path_check.PathChecker(
            self._services, request_context.client, self._random
        )
        self._sharing.successors.check_paths = path_checker.check_all
        self._tasks.supervise('path checks', path_checker.run)
        return request_relays

    async def _open_pages(
        self,
        page_metrics: entry_metrics.EntryMetrics,
    ) -> page_servers.PageServers:
        opened_pages = page_servers.PageServers(
            self._bounds,
            descriptors.page_connections(self._settings.max_sockets),
        )
        directory = pages.Directory(
            self._addresses,
            min(_DIRECTORY_LIFETIME_S, self._settings.bounds.directory_s),
            self._pages.encode_addresses,
        )
        await opened_pages.open(
            pages.Page(self._pages.directory_path, directory.answer),
            self._settings.directory,
        )
        readiness = pages.Readiness(self._is_ready)
        await opened_pages.open(
            pages.Page(self._pages.ready_path, readiness.answer),
            self._settings.ready,
        )
        await opened_pages.open_if_free(
            pages.Page(
                self._pages.metrics_path,
                pages.MetricsPage(page_metrics.text).answer,
            ),
            self._settings.metrics,
        )
        return opened_pages

    async def _shut_down(
        self,
        front_server: caller_server.HttpServer,
        request_relays: relays.Relays,
        opened_pages: page_servers.PageServers,
    ) -> None:
        """Leave the fleet without cutting off a request.

        Cached directory answers name this instance for a while. Until they
        expire, it accepts connections and asks callers to close them.
        """
        now_s = self._clock.monotonic_s()
        grace_s = self._settings.bounds.grace_s
        notice_s = _STALE_DIRECTORY_FACTOR * _DIRECTORY_LIFETIME_S
        accept_until_s = now_s + min(notice_s, grace_s / 2)
        exit_s = now_s + grace_s - _EXIT_RESERVE_S
        logs.write(
            entry_events.Stopping(
                in_hand=self._activity.in_flight,
                grace_s=grace_s,
            ),
        )
        self._activity.begin_draining(accept_until_s, exit_s)
        self._membership.announce_leaving()
        await asyncio.sleep(accept_until_s - self._clock.monotonic_s())
        left_s = max(0.0, exit_s - self._clock.monotonic_s())
        self._connections_cut = sum(
            await asyncio.gather(
                front_server.close(left_s, self._activity.cut_off),
                request_relays.close(left_s),
            ),
        )
        await opened_pages.close()

    async def _maintain(self, decisions: decision_log.DecisionLog) -> None:
        while True:
            self._update_retry_burst()
            decisions.log_retry_budgets()
            decisions.log_dropped()
            await asyncio.sleep(_MAINTENANCE_INTERVAL_S)

    def _update_retry_burst(self) -> None:
        """Use this daemon's share of the retry burst while it is a carrier."""
        share = self._burst_share.part(
            is_carrier=self._carriers.is_carrier(),
            count=self._carriers.count,
            living=1 + len(self._carriers.zone_peers()),
        )
        self._services.set_retry_burst(share)

    def _on_outcome(self, is_success: bool) -> None:
        if not is_success:
            self._sharing.request_early_beat()

    def _addresses(self, zone: ids.ZoneName) -> Sequence[str]:
        return [
            f'{member.http_ip}:{member.http_port}'
            for member in self._carriers.of_zone(zone)
        ]

    def _is_ready(self) -> bool:
        if self._activity.is_draining or self._stop.is_set():
            return False
        services = self._services
        return (
            services.configuration is not None and services.targets is not None
        )

    def _bounds(self) -> model.CallerBounds:
        configuration = self._services.configuration
        return configuration.bounds if configuration else model.CallerBounds()

    def _on_task_failure(self, failure: BaseException) -> None:
        logs.failure('part-failed', failure, level=logs.Level.ERROR)
        self.stop()


def _max_confirmation_age_s(bounds: entry_settings.EntryBounds) -> float | None:
    """Return the maximum age of a confirmation, or None if none is needed."""
    if bounds.revocation_s is None:
        return None
    return bounds.revocation_s - _REVOCATION_MARGIN_S
