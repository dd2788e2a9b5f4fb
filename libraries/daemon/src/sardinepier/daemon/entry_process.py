"""The life of one entry instance, from its settings to its exit."""

import asyncio
import contextlib
import dataclasses
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
    task_set,
)
from sardinepier.entry import (
    caller_server,
    decision_log,
    model,
    pages,
    pipeline,
    platform_state,
    service_registry,
)
from sardinepier.gateway import active_requests
from sardinepier.health import failure_estimate
from sardinepier.telemetry import logs
from sardinepier.wire import messages
from sardinepier.zones import (
    burst_share,
    carriers,
    expired_entries,
    platform_reader,
    sharing,
    zone_load,
)

_DIRECTORY_S: Final = 1.0
"""How long callers are told to keep an answer: a lost carrier costs the
requests of this time, and a shorter one costs the directory more answers."""

_RETRY_MARGIN: Final = 0.9
"""Share of the fleet's retry budget that is used, as windows slide."""

_REVOCATION_MARGIN_S: Final = 0.1
"""Of the time in which a key has to stop working, for clocks that differ in
their pace."""

_UPKEEP_S: Final = 0.5

_PERCENT: Final = 100
_CLOSING_S: Final = 0.8
"""What is left of the time to exit for closing connections: on a busy
instance that takes half a second."""

_STALE_DIRECTORY_FACTOR: Final = 3
"""Some callers keep a directory answer so many times longer."""


@dataclasses.dataclass(frozen=True, slots=True)
class EntryPages:
    """Where the pages beside the request path stand, and their form."""

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

    ``run`` returns after a graceful exit, which SIGTERM begins.
    """

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        source: platform_state.PublishedState,
        entry_pages: EntryPages,
    ) -> None:
        """Keep the settings; nothing is opened yet."""
        self._settings = settings
        self._pages = entry_pages
        self._clock = clocks.SystemClock()
        self._random = random.Random()
        self._activity = active_requests.ActiveRequests()
        self._stop = asyncio.Event()
        self._tasks = task_set.TaskSet(self._part_failed)
        self._services = service_registry.ServiceRegistry(
            settings.zone,
            self._clock,
            self._random,
            _PERCENT * settings.bounds.retry_ratio * _RETRY_MARGIN,
            failure_estimate.EstimateOptions(),
            settings.bounds.min_used_share,
            _confirmed_within_s(settings.bounds),
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
        self._burst = burst_share.BurstShare(
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
            _tell_configuration,
        )
        self._reading = platform_reader.PlatformReader(
            source,
            self._services,
            self._carriers,
            self._guard,
            self._sharing,
            self._clock,
            self._random,
        )
        self._services.on_outcome = self._outcome_seen
        self._services.confirmation.on_wait = self._sharing.request_early_beat

    def stop(self) -> None:
        """Begin the graceful exit; a second call changes nothing."""
        self._stop.set()

    def set_seeds(self, seeds: Sequence[messages.PeerAddress]) -> None:
        """Replace the peer addresses to begin with."""
        self._membership.seed(seeds)

    async def run(self) -> None:
        """Serve until stopped."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop)
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._tasks.cancel)
            await self._serve(stack)
        if self._tasks.failure is not None:
            raise self._tasks.failure
        counted = self._network.counters()
        logs.write(
            entry_events.Stopped(
                in_hand=self._activity.in_flight,
                peer_messages_sent=counted.messages_sent,
                peer_bytes_sent=counted.bytes_sent,
            ),
        )

    async def _serve(self, stack: contextlib.AsyncExitStack) -> None:
        self._network.open()
        self._membership.seed(self._settings.seeds)
        shared = entry_parts.build_context(
            self._settings.names,
            self._services,
            self._activity,
            self._clock,
        )
        stack.push_async_callback(shared.client.close)
        self._start_tasks(shared.decision_log)
        answering = pipeline.Pipeline(shared)
        front = caller_server.HttpServer(
            answering.handle,
            self._bounds,
            answering.start_pipelined,
        )
        await front.start(self._settings.front.ip, self._settings.front.port)
        figures = entry_metrics.EntryMetrics(
            shared.metrics,
            self._services,
            self._activity,
            self._guard,
            self._carriers,
            self._membership,
            self._reading,
        )
        beside = await self._listen_beside(figures)
        logs.write(entry_parts.started(self._settings))
        gc.collect()
        gc.freeze()
        await self._stop.wait()
        await self._depart(front, beside)

    def _start_tasks(self, told: decision_log.DecisionLog) -> None:
        self._tasks.start(self._network.run())
        self._tasks.start(self._membership.run())
        self._tasks.start(self._sharing.run())
        self._tasks.start(self._upkeep(told))
        self._tasks.start(self._reading.run())

    async def _listen_beside(
        self,
        figures: entry_metrics.EntryMetrics,
    ) -> page_servers.PageServers:
        beside = page_servers.PageServers(self._bounds)
        directory = pages.Directory(
            self._addresses,
            min(_DIRECTORY_S, self._settings.bounds.directory_s),
            self._pages.encode_addresses,
        )
        await beside.open(
            pages.Page(self._pages.directory_path, directory.answer),
            self._settings.directory,
        )
        readiness = pages.Readiness(self._is_ready)
        await beside.open(
            pages.Page(self._pages.ready_path, readiness.answer),
            self._settings.ready,
        )
        await beside.open_if_free(
            pages.Page(
                self._pages.metrics_path,
                pages.MetricsPage(figures.text).answer,
            ),
            self._settings.metrics,
        )
        return beside

    async def _depart(
        self,
        front: caller_server.HttpServer,
        beside: page_servers.PageServers,
    ) -> None:
        """Leave without cutting a request.

        Answers of the directory name this instance for a while, so that it
        still serves whoever comes, and asks them to close.
        """
        until_s = self._clock.monotonic_s() + self._settings.bounds.grace_s
        logs.write(
            entry_events.Stopping(
                in_hand=self._activity.in_flight,
                grace_s=self._settings.bounds.grace_s,
            ),
        )
        self._activity.begin_draining()
        self._membership.announce_leaving()
        notice_s = _STALE_DIRECTORY_FACTOR * _DIRECTORY_S
        latest_s = self._settings.bounds.grace_s / 2
        await asyncio.sleep(min(notice_s, latest_s))
        front.stop_listening()
        left_s = until_s - _CLOSING_S - self._clock.monotonic_s()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, left_s)):
                await self._activity.wait_until_idle()
        left_s = until_s - self._clock.monotonic_s() - _CLOSING_S / 2
        await front.close(max(0.0, left_s))
        await beside.close()

    async def _upkeep(self, told: decision_log.DecisionLog) -> None:
        while True:
            self._share_burst()
            told.log_dropped()
            await asyncio.sleep(_UPKEEP_S)

    def _share_burst(self) -> None:
        """Use the zone's part of the burst while this daemon carries it."""
        part = self._burst.part(
            is_carrier=self._carriers.is_carrier(),
            count=self._carriers.count,
            living=1 + len(self._carriers.zone_peers()),
        )
        self._services.set_retry_burst(part)

    def _outcome_seen(self, is_good: bool) -> None:
        if not is_good:
            self._sharing.request_early_beat()

    def _addresses(self, zone: ids.ZoneName) -> Sequence[str]:
        return [
            f'{member.http_ip}:{member.http_port}'
            for member in self._carriers.of_zone(zone)
        ]

    def _is_ready(self) -> bool:
        if self._activity.is_draining or self._stop.is_set():
            return False
        held = self._services
        return held.configuration is not None and held.targets is not None

    def _bounds(self) -> model.CallerBounds:
        configuration = self._services.configuration
        return configuration.bounds if configuration else model.CallerBounds()

    def _part_failed(self, failure: BaseException) -> None:
        logs.failure('part-failed', failure, level=logs.Level.ERROR)
        self.stop()


def _confirmed_within_s(bounds: entry_settings.EntryBounds) -> float | None:
    """Return how old a confirmation may be, None for no need of any."""
    if bounds.revocation_s is None:
        return None
    return bounds.revocation_s - _REVOCATION_MARGIN_S


def _tell_configuration(configuration: model.ServedConfiguration) -> None:
    logs.write(
        entry_events.ConfigurationInForce(
            version=configuration.version,
            routes=len(configuration.routes),
            routes_of_unknown_kind=configuration.unknown_kinds(),
        ),
    )
