"""Keeps a daemon's store in step with the platform and with its peers.

For example::

    distributor = Distributor(
        store, platform, network, view, clock, random_source, options, on_event
    )
    await distributor.run()

A newer file reaches a daemon in three ways, each sufficient alone. Watchers,
a few in each zone, keep a watch request open at the platform. A daemon that
applied a newer file notifies a few random peers, which fetch it and do the
same. The marks on heartbeats reveal versions that a daemon has missed.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Final

from sardinepier.configuration import options as configuration_options
from sardinepier.configuration import store as stores
from sardinepier.configuration.internal import (
    confirmations,
    instance_poller,
    peer_components,
    platform_reader,
    store_writer,
    watchers,
)
from sardinepier.core import clock as clocks
from sardinepier.membership import marks
from sardinepier.membership import view as views
from sardinepier.platform import interface
from sardinepier.telemetry import file_events
from sardinepier.wire import messages
from sardinepier.wire import network as networks

_FIRST_LISTING_SPREAD_PER_MEMBER_S: Final = 0.01


class Distributor:
    """Distributes the files on one daemon: fetches and passes on versions."""

    def __init__(
        self,
        store: stores.Store,
        platform: interface.Platform,
        network: networks.PeerNetwork,
        view: views.View,
        clock: clocks.Clock,
        random_source: random.Random,
        options: configuration_options.DistributorOptions,
        on_event: Callable[[file_events.FileEvent], None],
    ) -> None:
        """Subscribe to the messages; nothing is sent before ``run``.

        ``on_event`` is called for each version that is accepted, rejected or
        stale, and when the platform fails or recovers.
        """
        self._store = store
        self._clock = clock
        self._random = random_source
        self._options = options
        self._confirmations = confirmations.Confirmations(clock)
        file_writer = store_writer.StoreWriter(store, on_event)
        self._watchers = watchers.Watchers(view, self._watchers_per_zone)
        self._peers = peer_components.PeerComponents(
            store,
            network,
            view,
            clock,
            random_source,
            options,
            file_writer,
            self._confirmations,
        )
        self._platform_reader = platform_reader.PlatformReader(
            platform_reader.ReaderDependencies(
                platform,
                store,
                file_writer,
                self._watchers,
                clock,
                random_source,
                options,
                on_event,
                self._is_silent,
                self._is_fetching,
            ),
        )
        self._instance_poller = instance_poller.InstancePoller(
            platform,
            self._watchers,
            clock,
            random_source,
            options,
            on_event,
        )
        self._last_refresh_s = float('-inf')
        self._platform_check_requested = asyncio.Event()

    @property
    def is_watcher(self) -> bool:
        """Return whether this daemon watches the platform."""
        return self._watchers.is_watcher

    def on_instances(self, callback: instance_poller.OnInstances) -> None:
        """Call ``callback`` with each new instance list of the platform.

        The list is complete each time: all targets of this watcher's share,
        and all daemons. Its ``share`` says which services it covers and
        changes when the set of watchers changes. Only watchers read targets;
        a starting daemon that knows no peers reads the daemons once.
        """
        self._instance_poller.subscribe(callback)

    def receive_mark(
        self,
        sender: messages.Sender,
        mark: marks.ConfigurationMark,
    ) -> None:
        """Compare the mark in a peer's heartbeat with the mark of the store."""
        self._peers.exchange.receive_mark(sender, mark)

    def confirm_since(self, moment_s: float) -> bool:
        """Return whether the files were confirmed as the newest since then.

        True once a peer, or the platform if there are no peers, was queried
        after ``moment_s`` and had nothing newer. Without peers, a platform
        that does not answer also counts as confirmation, because there is no
        other source. A call that returns False starts a query; call again
        soon.
        """
        if self._confirmations.is_confirmed_since(moment_s):
            return True
        self.refresh()
        return False

    def refresh(self) -> None:
        """Query a few peers now, or the platform if there are none.

        Further calls within ``refresh_s`` of a query do nothing.
        """
        now_s = self._clock.monotonic_s()
        if now_s < self._last_refresh_s + self._options.refresh_s:
            return
        self._last_refresh_s = now_s
        if not self._peers.exchange.query_peers():
            self._platform_check_requested.set()

    async def run(self) -> None:
        """Keep the store up to date until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._peers.exchange.expire())
            tasks.create_task(self._peers.exchange.offer_files())
            await self._sync_with_peers()
            self._peers.change_push.start()
            tasks.create_task(self._peers.change_push.push_changes())
            tasks.create_task(self._platform_reader.read_wanted())
            tasks.create_task(self._instance_poller.poll())
            tasks.create_task(self._platform_reader.watch())
            tasks.create_task(self._list_and_audit())
            tasks.create_task(self._confirm_with_platform())

    async def _sync_with_peers(self) -> None:
        """Fetch the files of the peers before the platform is queried.

        The platform may be stale. A daemon that restarts must not apply an
        older version of a file than its peers have, or than it had before.
        While files are being fetched, no further peers are queried.
        """
        started_s = self._clock.monotonic_s()
        while self._should_wait_for_peers(started_s):
            if self._is_synced_since(started_s):
                return
            if not self._is_fetching():
                self._peers.exchange.query_peers()
            await asyncio.sleep(self._options.refresh_s)
        if not self._peers.choice.pick(1):
            await self._instance_poller.read_daemons()

    def _should_wait_for_peers(self, started_s: float) -> bool:
        waited_s = self._clock.monotonic_s() - started_s
        if self._is_fetching():
            return waited_s < self._options.peer_fetch_s
        return waited_s < self._options.peer_wait_s

    def _is_synced_since(self, started_s: float) -> bool:
        if self._store.mark().newest_revision == 0:
            return False
        return self._confirmations.is_confirmed_since(started_s)

    async def _list_and_audit(self) -> None:
        """List the files once after the start, then audit periodically.

        A random delay spreads the first listings of daemons that start
        together.
        """
        max_delay_s = (
            self._watchers.member_count() * _FIRST_LISTING_SPREAD_PER_MEMBER_S
        )
        await asyncio.sleep(self._random.uniform(0, max_delay_s))
        if not self._watchers.is_watcher:
            await self._platform_reader.list_once()
        await self._platform_reader.audit()

    async def _confirm_with_platform(self) -> None:
        """Compare with the platform on each request made without peers."""
        while True:
            await self._platform_check_requested.wait()
            self._platform_check_requested.clear()
            requested_s = self._confirmations.now_s()
            await self._platform_reader.list_once()
            if not self._platform_reader.has_wanted:
                self._confirmations.confirm(requested_s)

    def _is_silent(self) -> bool:
        """Return whether no peer sent a message for ``silence_s``."""
        received_s = self._peers.exchange.last_peer_message_s
        return self._clock.monotonic_s() > received_s + self._options.silence_s

    def _is_fetching(self) -> bool:
        return self._peers.exchange.is_fetching

    def _watchers_per_zone(self) -> int:
        if self._store.current is None:
            return self._options.watchers_per_zone
        return self._store.current.fleet.configuration_watchers_per_zone
