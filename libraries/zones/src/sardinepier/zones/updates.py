"""Distribution of configurations and target lists within a zone.

The daemon that reads a newer version sends it to all others at once; of a
target list it sends the changes. A daemon that learns from a heartbeat that it
is behind requests the newer version of the sender. Versions only grow, so that
lost, repeated and reordered messages do no harm.
"""

from collections.abc import Callable, Collection
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.entry import model, service_registry
from sardinepier.telemetry import logs
from sardinepier.wire import messages as wire_messages
from sardinepier.wire import network
from sardinepier.zones import (
    carriers,
    expired_entries,
    messages,
    packing,
    target_changes,
)

_MS_PER_S: Final = 1000
_REQUEST_INTERVAL_S: Final = 0.1
"""Minimum interval of requests. Carriers send up to fifty heartbeats a second
while targets fail, and the reply is a whole list, which takes a hundredth of a
second on a weak link."""


class ZoneUpdates:
    """Applies newer state, from the platform or from daemons of the zone.

    ``on_configuration`` is called with each configuration that comes into
    force.
    """

    def __init__(
        self,
        peer_network: network.PeerNetwork,
        zone_carriers: carriers.Carriers,
        services: service_registry.ServiceRegistry,
        guard: expired_entries.ExpiredEntryGuard,
        clock: clocks.Clock,
        on_configuration: Callable[[model.ServedConfiguration], None],
    ) -> None:
        """Listen on ``peer_network``; nothing is sent yet."""
        self._network = peer_network
        self._carriers = zone_carriers
        self._services = services
        self._guard = guard
        self._clock = clock
        self._on_configuration = on_configuration
        self._next_request_s = clock.monotonic_s()
        peer_network.subscribe(messages.NewsRequest, self._on_request)
        peer_network.subscribe(
            messages.ConfigurationNews,
            self._on_configuration_update,
        )
        peer_network.subscribe(messages.TargetsNews, self._on_targets)
        peer_network.subscribe(messages.TargetsChange, self._on_change)

    def apply_configuration(self, fresh: model.ServedConfiguration) -> None:
        """Put a configuration from the platform in force and forward it."""
        if self._offer_configuration(fresh):
            self.send_to_all(messages.ConfigurationNews(packing.pack(fresh)))

    def apply_targets(
        self,
        fresh: model.TargetList,
        *,
        requested_s: float,
        unusable: Collection[str] = (),
    ) -> int | None:
        """Apply a target list from the platform and forward its changes.

        ``requested_s`` is when the snapshot was requested, and ``unusable`` are
        the names of targets whose entries can't be read. Returns None if the
        zone was informed of the snapshot, and else its age in ms, which the
        caller has to announce.
        """
        before = self._services.targets
        base_digest = self._services.targets_digest
        complete = self._guard.reconcile(
            before,
            fresh,
            requested_s=requested_s,
            unusable=unusable,
        )
        age_ms = round((self._clock.monotonic_s() - requested_s) * _MS_PER_S)
        if not self._services.offer_targets(complete):
            return age_ms
        if before is None:
            self.send_to_all(messages.TargetsNews(complete, age_ms))
            return None
        self.send_to_all(
            target_changes.between(
                before,
                complete,
                base_digest=base_digest,
                digest=self._services.targets_digest,
                snapshot_age_ms=age_ms,
            ),
        )
        return None

    def compare(
        self,
        sender: wire_messages.Sender,
        heartbeat: messages.ZoneBeat,
    ) -> None:
        """Request from ``sender`` what is newer according to its heartbeat.

        The age of its snapshot holds for this daemon only if nothing is newer:
        the request or its answer may be lost, and then this daemon has to read
        the platform itself.
        """
        version, revision = self._services.versions()
        lacks_targets = (
            heartbeat.targets_digest != self._services.targets_digest
            and heartbeat.targets_revision >= revision
        )
        if lacks_targets or heartbeat.configuration_version > version:
            self._request(sender)
        else:
            self._record_snapshot_age(heartbeat.snapshot_age_ms)

    def send_to_all(self, message: wire_messages.Message) -> None:
        """Send to all other daemons of the zone."""
        for member in self._carriers.zone_peers():
            self._network.send(member.peer_address, message)

    def _on_request(
        self,
        sender: wire_messages.Sender,
        request: messages.NewsRequest,
    ) -> None:
        version, revision = self._services.versions()
        configuration = self._services.configuration
        targets = self._services.targets
        if configuration and version > request.configuration_version:
            self._network.send(
                sender.address,
                messages.ConfigurationNews(packing.pack(configuration)),
            )
        if targets and revision >= request.targets_revision:
            self._network.send(
                sender.address,
                messages.TargetsNews(targets, self._snapshot_age_ms()),
            )

    def _on_configuration_update(
        self,
        sender: wire_messages.Sender,
        update: messages.ConfigurationNews,
    ) -> None:
        try:
            configuration = packing.unpack(update.packed)
        except packing.DamagedError as error:
            logs.failure('news-damaged', error, sender=sender.instance_id)
            return
        self._offer_configuration(configuration)

    def _on_targets(
        self,
        sender: wire_messages.Sender,
        update: messages.TargetsNews,
    ) -> None:
        self._record_snapshot_age(update.snapshot_age_ms)
        self._services.offer_targets(update.targets)

    def _on_change(
        self,
        sender: wire_messages.Sender,
        change: messages.TargetsChange,
    ) -> None:
        current = self._services.targets
        digest = self._services.targets_digest
        if current is None or digest not in {change.base_digest, change.digest}:
            self._request(sender)
            return
        fresh = target_changes.applied(current, change)
        if service_registry.digest_of(fresh) == change.digest:
            self._services.offer_targets(fresh)
            self._record_snapshot_age(change.snapshot_age_ms)
        else:
            self._request(sender)

    def _request(self, sender: wire_messages.Sender) -> None:
        """Request newer versions, unless that was just done."""
        now_s = self._clock.monotonic_s()
        if now_s < self._next_request_s:
            return
        self._next_request_s = now_s + _REQUEST_INTERVAL_S
        self._network.send(
            sender.address,
            messages.NewsRequest(*self._services.versions()),
        )

    def _snapshot_age_ms(self) -> int | None:
        """Return the age of a snapshot that this daemon has read itself."""
        age_s = self._guard.age_s()
        if age_s is None or not self._guard.is_own_snapshot:
            return None
        return round(age_s * _MS_PER_S)

    def _record_snapshot_age(self, age_ms: int | None) -> None:
        if age_ms is not None:
            self._guard.record_peer_snapshot(age_ms / _MS_PER_S)

    def _offer_configuration(
        self, configuration: model.ServedConfiguration
    ) -> bool:
        if not self._services.offer_configuration(configuration):
            return False
        self._on_configuration(configuration)
        return True
