"""Exchange of requests in flight and waiting between daemons of all zones."""

from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.entry import service_registry
from sardinepier.wire import messages as wire_messages
from sardinepier.wire import network
from sardinepier.zones import (
    carriers,
    list_differences,
    messages,
    own_use,
    ranking,
    slot_reports,
    slot_updates,
    target_index,
)

_INTERVAL_S: Final = 0.249
"""Minimum interval of reports, just below that of heartbeats, so that one goes
out with each of these."""


class SlotSharing:
    """Sends the use of slots by one daemon, and applies that of others.

    The other carriers of the own zone and the first carriers of other zones
    receive reports, if the configuration has requests that compete for slots
    by priority or by customer.
    """

    def __init__(
        self,
        peer_network: network.PeerNetwork,
        zone_carriers: carriers.Carriers,
        services: service_registry.ServiceRegistry,
        clock: clocks.Clock,
    ) -> None:
        """Listen on ``peer_network``; nothing is sent yet."""
        self._network = peer_network
        self._carriers = zone_carriers
        self._services = services
        self._clock = clock
        self._due_s = clock.monotonic_s()
        self._index = target_index.CurrentIndex(services)
        self._reports = slot_reports.SlotReports(services, clock, self._index)
        self._differences = list_differences.ListDifferences(clock)
        self._updates: dict[ids.ZoneName, slot_updates.SlotUpdates] = {}
        self._demand = _Demand(services)
        peer_network.subscribe(messages.SlotUse, self._on_use)

    def step(self) -> None:
        """Send a report to each receiver for which one is due."""
        self._reports.expire()
        self._differences.expire()
        now_s = self._clock.monotonic_s()
        if now_s < self._due_s or not self._demand.has_competing_requests():
            return
        self._due_s = now_s + _INTERVAL_S
        receivers = self._receivers()
        for gone in self._updates.keys() - receivers.keys():
            del self._updates[gone]
        use = own_use.collect(
            self._services,
            self._index.get(),
            self._carriers.own_zone,
            now_s,
        )
        for zone, members in receivers.items():
            self._send(zone, members, use)

    def _receivers(self) -> dict[ids.ZoneName, ranking.Members]:
        by_zone: dict[ids.ZoneName, ranking.Members] = {}
        for member in (
            *carriers.other_carriers(self._carriers),
            *self._carriers.of_other_zones(),
        ):
            by_zone[member.zone] = (*by_zone.get(member.zone, ()), member)
        return by_zone

    def _send(
        self,
        zone: ids.ZoneName,
        members: ranking.Members,
        use: own_use.OwnUse,
    ) -> None:
        updates = self._updates.get(zone)
        if updates is None:
            updates = slot_updates.SlotUpdates(
                self._clock,
                self._carriers.own_zone,
                zone,
            )
            self._updates[zone] = updates
        receivers = frozenset(member.instance_id for member in members)
        report = updates.collect(receivers, use, self._index.get().digest)
        if report is not None:
            for member in members:
                self._network.send(member.peer_address, report)

    def _on_use(
        self,
        sender: wire_messages.Sender,
        use: messages.SlotUse,
    ) -> None:
        is_same = self._reports.apply(sender.instance_id, use)
        self._differences.record(sender.instance_id, is_same=is_same)


class _Demand:
    """Whether the configuration has requests that compete for slots."""

    def __init__(self, services: service_registry.ServiceRegistry) -> None:
        self._services = services
        self._version = -1
        self._has_competing_requests = False

    def has_competing_requests(self) -> bool:
        """Return it for the configuration in force."""
        configuration = self._services.configuration
        if configuration is not None and configuration.version != self._version:
            self._version = configuration.version
            self._has_competing_requests = (
                configuration.has_competing_requests()
            )
        return self._has_competing_requests
