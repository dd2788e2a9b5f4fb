"""Keeps a daemon's store up with the platform and with its peers.

For example::

    distributor = Distributor(
        store, platform, network, view, clock, random_source, options, on_event
    )
    await distributor.run()

Three ways lead to a newer file, and any of them alone is enough. Watchers,
a few in each zone, hold the platform's watch. Whoever takes a newer file
tells a few random peers, which fetch it and do the same. Marks on heartbeats
show what was missed.
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

_START_SHARE_S: Final = 0.01


class Distributor:
    """One daemon's part in spreading the files over the fleet."""

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
        """Subscribe to the messages; nothing is sent or asked before ``run``.

        ``on_event`` is told what was accepted, rejected or found stale, and
        when the platform fails and recovers.
        """
        self._store = store
        self._clock = clock
        self._random = random_source
        self._options = options
        self._confirmed = confirmations.Confirmations(clock)
        file_intake = store_writer.StoreWriter(store, on_event)
        self._watchers = watchers.Watchers(view, self._per_zone)
        self._peers = peer_components.PeerComponents(
            store,
            network,
            view,
            clock,
            random_source,
            options,
            file_intake,
            self._confirmed,
        )
        self._reader = platform_reader.PlatformReader(
            platform_reader.ReaderParts(
                platform,
                store,
                file_intake,
                self._watchers,
                clock,
                random_source,
                options,
                on_event,
                self._is_silent,
                self._is_fetching,
            ),
        )
        self._instances = instance_poller.InstancePoller(
            platform,
            self._watchers,
            clock,
            random_source,
            options,
            on_event,
        )
        self._refreshed_s = float('-inf')
        self._is_asked_alone = asyncio.Event()

    @property
    def is_watcher(self) -> bool:
        """Tell whether this daemon holds the platform's watch."""
        return self._watchers.is_own

    def on_instances(self, callback: instance_poller.OnInstances) -> None:
        """Call ``callback`` with each new instance list of the platform.

        The list has the targets of this watcher's own share, all of them each
        time, and all daemons; its ``share`` tells which services it covers.
        The share changes when the watchers do. Only watchers read targets; a
        starting daemon that knows no peers reads the daemons once.
        """
        self._instances.subscribe(callback)

    def receive_mark(
        self,
        sender: messages.Sender,
        mark: marks.ConfigurationMark,
    ) -> None:
        """Compare the mark that a peer's heartbeat brought with ours."""
        self._peers.exchange.receive_mark(sender, mark)

    def confirm_since(self, moment_s: float) -> bool:
        """Tell whether nothing newer was known elsewhere after ``moment_s``.

        True once a peer, or the platform if there are no peers, was asked
        after that moment and had nothing newer. Without peers a platform that
        does not answer counts as such too, for there is nobody else to ask.
        While the answer is False a call also asks; call it again soon.
        """
        if self._confirmed.is_since(moment_s):
            return True
        self.refresh()
        return False

    def refresh(self) -> None:
        """Ask a few peers now, or the platform if there are none.

        Calls that follow one another within ``refresh_s`` ask once.
        """
        now_s = self._clock.monotonic_s()
        if now_s < self._refreshed_s + self._options.refresh_s:
            return
        self._refreshed_s = now_s
        if not self._peers.exchange.query_peers():
            self._is_asked_alone.set()

    async def run(self) -> None:
        """Keep the store up to date until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._peers.exchange.expire())
            tasks.create_task(self._peers.exchange.offer_files())
            await self._hear_peers()
            self._peers.change_push.begin()
            tasks.create_task(self._peers.change_push.push_changes())
            tasks.create_task(self._reader.read_wanted())
            tasks.create_task(self._instances.poll())
            tasks.create_task(self._reader.watch())
            tasks.create_task(self._list_and_audit())
            tasks.create_task(self._confirm_alone())

    async def _hear_peers(self) -> None:
        """Take over what peers have before the platform is asked.

        The platform may be stale. A daemon that restarts beside others must
        not show an older file than they do, nor than it did itself. While
        files come from peers there is no sense in asking for more.
        """
        began_s = self._clock.monotonic_s()
        while self._waits_for_peers(began_s):
            if self._has_taken_over(began_s):
                return
            if not self._is_fetching():
                self._peers.exchange.query_peers()
            await asyncio.sleep(self._options.refresh_s)
        if not self._peers.choice.pick(1):
            await self._instances.read_daemons()

    def _waits_for_peers(self, began_s: float) -> bool:
        waited_s = self._clock.monotonic_s() - began_s
        if self._is_fetching():
            return waited_s < self._options.peer_fetch_s
        return waited_s < self._options.peer_wait_s

    def _has_taken_over(self, began_s: float) -> bool:
        if self._store.mark().newest_revision == 0:
            return False
        return self._confirmed.is_since(began_s)

    async def _list_and_audit(self) -> None:
        """List the files once soon, and then now and then.

        The first listings of many daemons that start together are spread.
        """
        most_s = self._watchers.member_count() * _START_SHARE_S
        await asyncio.sleep(self._random.uniform(0, most_s))
        if not self._watchers.is_own:
            await self._reader.list_once()
        await self._reader.audit()

    async def _confirm_alone(self) -> None:
        """Compare with the platform when asked and without peers."""
        while True:
            await self._is_asked_alone.wait()
            self._is_asked_alone.clear()
            asked_s = self._confirmed.now_s()
            await self._reader.list_once()
            if not self._reader.has_wanted:
                self._confirmed.confirm(asked_s)

    def _is_silent(self) -> bool:
        """Tell whether no peer has been heard for a while."""
        heard_s = self._peers.exchange.last_peer_message_s
        return self._clock.monotonic_s() > heard_s + self._options.silence_s

    def _is_fetching(self) -> bool:
        return self._peers.exchange.is_fetching

    def _per_zone(self) -> int:
        if self._store.current is None:
            return self._options.watchers_per_zone
        return self._store.current.fleet.configuration_watchers_per_zone
