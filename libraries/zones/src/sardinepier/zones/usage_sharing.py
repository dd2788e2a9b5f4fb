"""Exchange of the customers' usage of their limits between carriers."""

from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from typing import Final

import msgspec

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.entry import service_registry
from sardinepier.routing import customer_demand, fleet_bucket
from sardinepier.wire import messages as wire_messages
from sardinepier.wire import network
from sardinepier.zones import (
    carriers,
    customer_indexes,
    messages,
    ranking,
)

_INTERVAL_S: Final = 0.2
"""Interval of updates. Requests beyond a limit that are admitted within it are
deducted later."""

_MS_PER_S: Final = 1000
_RATE_S: Final = 10
"""Time for which arrivals are reported as a whole number, which is shorter."""


class UsageSharing:
    """Sends the usage counted by one daemon, and applies that of others.

    Only carriers receive updates, as they get nearly all requests. Carriers
    send them regularly, with new usage or without; non-carriers only when they
    admitted requests.
    """

    def __init__(
        self,
        peer_network: network.PeerNetwork,
        zone_carriers: carriers.Carriers,
        services: service_registry.ServiceRegistry,
        clock: clocks.Clock,
    ) -> None:
        """Listen on ``peer_network``; nothing is sent yet.

        ``on_regular_usage`` is called with the zone of each carrier that sends
        usage, and is set by the code that records which zones are reachable.
        """
        self._network = peer_network
        self._carriers = zone_carriers
        self._limits = services.limits
        self._queues = services.customer_queues
        self._clock = clock
        self._due_s = clock.monotonic_s()
        self._sent_regularly = False
        self._previous_receivers: frozenset[ids.InstanceId] = frozenset()
        self._indexes = customer_indexes.CustomerIndexes()
        self._peer_digests: dict[ids.InstanceId, int] = {}
        self.on_regular_usage: Callable[[ids.ZoneName], None] = _ignore_zone
        peer_network.subscribe(messages.UsageNews, self._on_usage)

    def step(self) -> None:
        """Send new usage, if an update is due and any customer has a limit."""
        if self._limits.has_no_limits:
            self._sent_regularly = False
            return
        self._limits.receives_updates = self._carriers.is_carrier()
        now_s = self._clock.monotonic_s()
        if now_s < self._due_s:
            return
        self._due_s = now_s + _INTERVAL_S
        receivers = (
            *carriers.other_carriers(self._carriers),
            *self._carriers.of_other_zones(self._carriers.count),
        )
        receiver_ids = frozenset(member.instance_id for member in receivers)
        # New receivers need all usage: after a start no other daemon is known
        # for a while, and what was admitted in that time was sent to none.
        demands = self._queues.demands()
        new_usage = self._limits.take_updates(
            is_all=not receiver_ids <= self._previous_receivers,
            also=demands,
        )
        self._previous_receivers = receiver_ids
        sends_regularly = self._carriers.is_carrier()
        if not new_usage and not sends_regularly and not self._sent_regularly:
            return
        self._sent_regularly = sends_regularly
        self._send(
            receivers,
            new_usage,
            demands,
            sends_regularly=sends_regularly,
        )

    def sends_regularly_to(self, receiver: ids.InstanceId) -> bool:
        """Return whether ``receiver`` gets usage regularly, which shows its zone to be reachable.

        A daemon of the previous version, which sends no digest, does not take
        it for one.
        """
        return self._sent_regularly and bool(self._peer_digests.get(receiver))

    def _send(
        self,
        receivers: ranking.Members,
        new_usage: Mapping[ids.CustomerName, fleet_bucket.Usage],
        demands: Mapping[ids.CustomerName, Sequence[customer_demand.Demand]],
        *,
        sends_regularly: bool,
    ) -> None:
        """Send usage, with indexes to those that have the same customers."""
        self._indexes.update(self._limits.limits)
        digest = self._indexes.digest
        named = messages.UsageNews(
            tuple(
                messages.CustomerUsage(
                    customer,
                    usage.spent,
                    usage.level,
                    _waiting_requests(demands.get(customer, ())),
                )
                for customer, usage in new_usage.items()
            ),
            sends_regularly,
            int(self._limits.age_s() * _MS_PER_S),
            digest,
        )
        indexed = msgspec.structs.replace(
            named,
            usages=tuple(
                msgspec.structs.replace(
                    usage,
                    customer=self._indexes.index_of(usage.customer),
                )
                for usage in named.usages
            ),
            is_indexed=True,
        )
        receiver_ids = {member.instance_id for member in receivers}
        for gone in self._peer_digests.keys() - receiver_ids:
            del self._peer_digests[gone]
        for member in receivers:
            has_same_names = (
                self._peer_digests.get(member.instance_id) == digest
            )
            self._network.send(
                member.peer_address,
                indexed if has_same_names else named,
            )

    def _named_usages(
        self,
        update: messages.UsageNews,
    ) -> Iterator[messages.CustomerUsage]:
        """Yield the usage by name, without customers that are unknown here.

        What can't be read is lost like a message: the usage counts from the
        sender's start, so that its next update includes it.
        """
        for usage in update.usages:
            if not update.is_indexed:
                yield usage
                continue
            customer = self._indexes.name_of(
                usage.customer, update.names_digest
            )
            if customer is not None:
                yield msgspec.structs.replace(usage, customer=customer)

    def _on_usage(
        self,
        sender: wire_messages.Sender,
        update: messages.UsageNews,
    ) -> None:
        zone = self._carriers.zone_of(sender.instance_id)
        if zone is None:
            return
        if update.sends_regularly and update.names_digest:
            self.on_regular_usage(zone)
        self._indexes.update(self._limits.limits)
        self._peer_digests[sender.instance_id] = update.names_digest
        usages = tuple(self._named_usages(update))
        self._limits.receive_usage(
            sender.instance_id,
            zone,
            {
                usage.customer: fleet_bucket.Usage(usage.spent, usage.level)
                for usage in usages
            },
            sends_regularly=update.sends_regularly,
            age_s=update.age_ms / _MS_PER_S,
        )
        self._queues.receive_demands(
            sender.instance_id,
            {
                usage.customer: tuple(map(_demand, usage.waiting))
                for usage in usages
                if usage.waiting
            },
        )


def _waiting_requests(
    demands: Iterable[customer_demand.Demand],
) -> tuple[messages.WaitingRequests, ...]:
    return tuple(
        messages.WaitingRequests(
            demand.priority,
            demand.waiting,
            round(demand.arrivals_per_s * _RATE_S),
        )
        for demand in demands
    )


def _demand(waiting: messages.WaitingRequests) -> customer_demand.Demand:
    return customer_demand.Demand(
        waiting.priority,
        waiting.waiting,
        waiting.arrivals_in_ten_s / _RATE_S,
    )


def _ignore_zone(zone: ids.ZoneName) -> None:
    """Do nothing: the default of ``on_regular_usage``."""
