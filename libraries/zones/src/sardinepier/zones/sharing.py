"""Exchange of state between one daemon and the other daemons of its zone.

A carrier sends heartbeats to all daemons of its zone, with the versions that it
has and its estimates of targets. The other daemons report their observations to
the carriers.
"""

import asyncio
import dataclasses
import random
from collections.abc import Callable, Collection
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.entry import model, service_registry
from sardinepier.wire import messages as wire_messages
from sardinepier.wire import network
from sardinepier.zones import (
    availability,
    carriers,
    confirmation_sharing,
    estimate_sharing,
    expired_entries,
    messages,
    role,
    zone_load,
)
from sardinepier.zones import limit_shares as shares
from sardinepier.zones import slot_sharing as slots
from sardinepier.zones import updates as zone_updates
from sardinepier.zones import successors, usage_sharing

_MIN_INTERVAL_S: Final = 0.02
"""Minimum time between two heartbeats, also when targets keep failing."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Notice:
    """The fields of a heartbeat that only some heartbeats set."""

    snapshot_age_ms: int | None = None
    hands_over: bool = False


_NO_NOTICE: Final = _Notice()


class ZoneSharing:
    """Exchanges updates between one daemon and its zone.

    ``on_configuration`` is called with each configuration that comes into
    force. ``successors`` finds another carrier while this daemon is cut off.
    """

    def __init__(
        self,
        peer_network: network.PeerNetwork,
        zone_carriers: carriers.Carriers,
        services: service_registry.ServiceRegistry,
        guard: expired_entries.ExpiredEntryGuard,
        load: zone_load.ZoneLoad,
        clock: clocks.Clock,
        random_source: random.Random,
        on_configuration: Callable[[model.ServedConfiguration], None],
    ) -> None:
        """Listen on ``peer_network``; nothing is sent yet."""
        self._carriers = zone_carriers
        self._services = services
        self._clock = clock
        self._updates = zone_updates.ZoneUpdates(
            peer_network,
            zone_carriers,
            services,
            guard,
            clock,
            on_configuration,
        )
        self._estimates = estimate_sharing.EstimateSharing(
            peer_network,
            zone_carriers,
            services,
            clock,
        )
        self._confirmations = confirmation_sharing.ConfirmationSharing(
            peer_network,
            zone_carriers,
            services,
            clock,
            random_source,
        )
        self._usage = usage_sharing.UsageSharing(
            peer_network,
            zone_carriers,
            services,
            clock,
        )
        self._slots = slots.SlotSharing(
            peer_network,
            zone_carriers,
            services,
            clock,
        )
        self._estimates.sends_regularly_to = self._usage.sends_regularly_to
        self._usage.on_regular_usage = self._estimates.record_reachable
        self._limit_shares = shares.LimitShares(services, zone_carriers)
        self.successors = successors.SuccessorSearch(
            peer_network, zone_carriers, services, clock
        )
        self._role = role.Role(
            services, zone_carriers, load, self.successors, clock
        )
        self._early_beat = asyncio.Event()
        peer_network.subscribe(messages.ZoneBeat, self._on_heartbeat)

    def apply_configuration(self, fresh: model.ServedConfiguration) -> None:
        """Put a configuration from the platform in force and forward it."""
        self._updates.apply_configuration(fresh)

    def apply_targets(
        self,
        fresh: model.TargetList,
        *,
        requested_s: float,
        unusable: Collection[str] = (),
    ) -> None:
        """Apply a target list from the platform and forward its changes.

        The zone is informed of each snapshot, so that its other daemons need
        not read the platform. ``requested_s`` is when the snapshot was
        requested. ``unusable`` are the names of targets whose entries can't be
        read.
        """
        age_ms = self._updates.apply_targets(
            fresh,
            requested_s=requested_s,
            unusable=unusable,
        )
        if age_ms is not None:
            self._send_heartbeat(_Notice(snapshot_age_ms=age_ms))

    def request_early_beat(self) -> None:
        """Send the next heartbeat early, such as after a target failed."""
        self._early_beat.set()

    async def run(self) -> None:
        """Send heartbeats or, as a non-carrier, reports, until cancelled."""
        while True:
            self._early_beat.clear()
            self.step()
            began_s = self._clock.monotonic_s()
            await asyncio.sleep(_MIN_INTERVAL_S)
            slept_s = self._clock.monotonic_s() - began_s
            self._role.load.record_timer_delay(slept_s - _MIN_INTERVAL_S)
            await self._wait()

    def step(self) -> None:
        """Send one heartbeat or report, as this daemon's role requires."""
        if self._role.step():
            self._send_heartbeat(_Notice(hands_over=True))
        elif self._carriers.is_carrier():
            self._send_heartbeat()
        else:
            self._estimates.send_to_carriers()
        self._exchange_with_other_zones()
        self._confirmations.step()
        self._usage.step()
        self._slots.step()
        self._limit_shares.assign()

    def _exchange_with_other_zones(self) -> None:
        """Send updates, and take over the exploration of unreachable zones.

        Only the first carrier of a zone receives reports of other zones.
        """
        unreachable_zones = self._estimates.unreachable_zones
        if self._carriers.is_first():
            self._estimates.send_to_other_zones()
        else:
            unreachable_zones.forget()
        self._services.set_unreachable_zones(unreachable_zones.names())

    async def _wait(self) -> None:
        left_s = availability.HEARTBEAT_INTERVAL_S - _MIN_INTERVAL_S
        try:
            async with asyncio.timeout(left_s):
                await self._early_beat.wait()
        except TimeoutError:
            return

    def _send_heartbeat(self, notice: _Notice = _NO_NOTICE) -> None:
        self._updates.send_to_all(self._heartbeat(notice))

    def _heartbeat(self, notice: _Notice) -> messages.ZoneBeat:
        return messages.ZoneBeat(
            *self._services.versions(),
            targets_digest=self._services.targets_digest,
            snapshot_age_ms=notice.snapshot_age_ms,
            estimates=self._estimates.collect_estimates(),
            hands_over=notice.hands_over,
            load=self._role.load.own(),
            carrier_count=self._carriers.count,
            statements=self._estimates.collect_statements(),
        )

    def _on_heartbeat(
        self,
        sender: wire_messages.Sender,
        heartbeat: messages.ZoneBeat,
    ) -> None:
        self._carriers.record_heartbeat(
            sender.instance_id, heartbeat.carrier_count
        )
        self._role.load.record_load(sender.instance_id, heartbeat.load)
        if heartbeat.hands_over:
            self._carriers.availability.record_handover(sender.instance_id)
        self._updates.compare(sender, heartbeat)
        self._estimates.apply_zone_updates(heartbeat)
