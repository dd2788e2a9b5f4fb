"""A daemon with the real membership and the real sharing of state."""

import asyncio
import dataclasses
import random
from collections.abc import Sequence
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.entry import model, service_registry
from sardinepier.health import failure_estimate
from sardinepier.membership import events, marks, members, membership, options
from sardinepier.wire import counters, hooks, memory_network, messages
from sardinepier.zones import carriers, expired_entries, sharing, zone_load

_ZONE_PEERS: Final = 3
_RETRY_PERCENT: Final = 18.0
_CONFIRMED_WITHIN_S: Final = 4.8
_READ_INTERVAL_S: Final = 1.0
"""Interval at which carriers read the platform."""


@dataclasses.dataclass(slots=True)
class Activity:
    """Counters of a daemon's requests, as its load is measured by them."""

    requests_started: int = 0
    forwarded_bytes: int = 0


class SimulatedDaemon:
    """One daemon, from its start with a few seed addresses.

    ``forwarded_bytes`` are the bytes of requests and answers of targets in
    the own zone and in other zones.
    """

    def __init__(
        self,
        own: members.Member,
        hub: memory_network.MemoryHub,
        clock: clocks.Clock,
        random_source: random.Random,
        crosses_zones: counters.CrossesZones,
    ) -> None:
        """Build the daemon; nothing runs yet."""
        self.own = own
        self.activity = Activity()
        self.forwarded_bytes = {False: 0, True: 0}
        self.joined_s: float | None = None
        self.network = hub.network(
            messages.Sender(own.instance_id, own.peer_address)
        )
        self.network.use_hooks(hooks.NetworkHooks(crosses_zones=crosses_zones))
        self.services = service_registry.ServiceRegistry(
            own.zone,
            clock,
            random_source,
            _RETRY_PERCENT,
            failure_estimate.EstimateOptions(),
            confirmed_within_s=_CONFIRMED_WITHIN_S,
        )
        self.membership = membership.Membership(
            own,
            self.network,
            clock,
            random_source,
            dataclasses.replace(options.FAST_START, zone_peers=_ZONE_PEERS),
            lambda: marks.ConfigurationMark(0, 0),
            _ignore_mark,
            _ignore_change,
        )
        self.carriers = carriers.Carriers(self.membership, clock)
        self.sharing = sharing.ZoneSharing(
            self.network,
            self.carriers,
            self.services,
            expired_entries.ExpiredEntryGuard(clock),
            zone_load.ZoneLoad(clock, self.activity),
            clock,
            random_source,
            _ignore_configuration,
        )
        self.services.on_outcome = self._on_outcome
        self.services.confirmation.on_wait = self.sharing.request_early_beat
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, seeds: Sequence[messages.PeerAddress]) -> None:
        """Join the fleet through ``seeds``."""
        self.membership.seed(seeds)
        self._tasks = [
            asyncio.ensure_future(self.membership.run()),
            asyncio.ensure_future(self.sharing.run()),
            asyncio.ensure_future(self._read_platform()),
        ]

    def stop(self) -> None:
        """End at once, as a crash does."""
        for task in self._tasks:
            task.cancel()

    def forwarded(self, size_bytes: int, *, crosses_zones: bool) -> None:
        """Count the bytes of a request and its answer."""
        self.forwarded_bytes[crosses_zones] += size_bytes
        self.activity.forwarded_bytes += size_bytes

    def serving_ids(self) -> set[ids.InstanceId]:
        """Return the daemons that this one knows to serve."""
        return {member.instance_id for member in self.membership.serving()}

    def member_ids(self) -> set[ids.InstanceId]:
        """Return the daemons that this one knows to live."""
        return {member.instance_id for member in self.membership.members()}

    async def _read_platform(self) -> None:
        while True:
            if self.carriers.is_carrier():
                confirmation = self.services.confirmation
                confirmation.confirm(confirmation.now_s())
            await asyncio.sleep(_READ_INTERVAL_S)

    def _on_outcome(self, is_good: bool) -> None:
        if not is_good:
            self.sharing.request_early_beat()


def _ignore_mark(
    sender: messages.Sender,
    mark: marks.ConfigurationMark,
) -> None:
    """Do nothing: the configuration never changes."""


def _ignore_change(event: events.MemberEvent) -> None:
    """Do nothing: the tables are read where they are needed."""


def _ignore_configuration(configuration: model.ServedConfiguration) -> None:
    """Do nothing: the configuration never changes."""
