"""Telling the carriers of all zones what customers were let through."""

from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.entry import service_registry
from sardinepier.routing import fleet_bucket
from sardinepier.wire import messages as wire_messages
from sardinepier.wire import network
from sardinepier.zones import carriers, messages

_INTERVAL_S: Final = 0.2
"""Pace of news. What customers send beyond their limits within it is let through
once, and paid back."""

_MS_PER_S: Final = 1000


class UsageSharing:
    """Sends the news of one daemon, and takes in those of others.

    Only carriers are told: they get nearly all requests. They tell each other
    all the while, with news or without; those beside them only when they let
    a request through.
    """

    def __init__(
        self,
        peer_network: network.PeerNetwork,
        chosen: carriers.Carriers,
        held: service_registry.ServiceRegistry,
        clock: clocks.Clock,
    ) -> None:
        """Listen on ``peer_network``; nothing is sent yet."""
        self._network = peer_network
        self._carriers = chosen
        self._limits = held.limits
        self._clock = clock
        self._due_s = clock.monotonic_s()
        self._went_on = False
        self._told: frozenset[ids.InstanceId] = frozenset()
        peer_network.subscribe(messages.UsageNews, self._on_news)

    def step(self) -> None:
        """Tell what is new, if it is time and anybody has a limit."""
        if self._limits.has_no_limits:
            return
        self._limits.receives_updates = self._carriers.is_carrier()
        now_s = self._clock.monotonic_s()
        if now_s < self._due_s:
            return
        self._due_s = now_s + _INTERVAL_S
        others = (
            *carriers.other_carriers(self._carriers),
            *self._carriers.of_other_zones(self._carriers.count),
        )
        named = frozenset(member.instance_id for member in others)
        # Those who were not told before have to know of all that was let
        # through: after a start nobody is known for a while.
        news = self._limits.take_updates(is_all=not named <= self._told)
        self._told = named
        sends_regularly = self._carriers.is_carrier()
        if not news and not sends_regularly and not self._went_on:
            return
        self._went_on = sends_regularly
        told = messages.UsageNews(
            tuple(
                messages.CustomerUsage(customer, usage.spent, usage.level)
                for customer, usage in news.items()
            ),
            sends_regularly,
            int(self._limits.age_s() * _MS_PER_S),
        )
        for member in others:
            self._network.send(member.peer_address, told)

    def _on_news(
        self,
        sender: wire_messages.Sender,
        news: messages.UsageNews,
    ) -> None:
        zone = self._carriers.zone_of(sender.instance_id)
        if zone is None:
            return
        self._limits.receive_usage(
            sender.instance_id,
            zone,
            {
                told.customer: fleet_bucket.Usage(told.spent, told.level)
                for told in news.usages
            },
            sends_regularly=news.sends_regularly,
            age_s=news.age_ms / _MS_PER_S,
        )
