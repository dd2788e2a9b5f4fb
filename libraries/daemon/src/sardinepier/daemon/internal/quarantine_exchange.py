"""Exchanges quarantine marks of requests that crash targets."""

from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.daemon.internal import (
    group_messages,
    own_services,
    service_exchange,
)
from sardinepier.gateway import service_runtimes
from sardinepier.once import quarantine as quarantines
from sardinepier.wire import messages, network

_INTERVAL_S: Final = 1.0


class QuarantineExchange:
    """Sends this daemon's own marks to its groups and applies theirs.

    A new mark is sent at once, not with the next tick: the caller of the lost
    request may retry it at another daemon before that.
    """

    def __init__(
        self,
        group_services: own_services.OwnServices,
        peer_network: network.PeerNetwork,
        services: service_runtimes.ServiceRuntimes,
        quarantine: quarantines.Quarantine,
        clock: clocks.Clock,
    ) -> None:
        """Subscribe to marks; nothing is sent before the first own mark."""
        self._group_services = group_services
        self._network = peer_network
        self._services = services
        self._quarantine = quarantine
        self._clock = clock
        self._next_send_s = clock.monotonic_s()
        peer_network.subscribe(group_messages.QuarantineNotice, self._on_notice)
        quarantine.on_marked = self.announce

    def tick(self) -> None:
        """Send the marks again once a second while there are any."""
        if self._clock.monotonic_s() >= self._next_send_s:
            self.announce()

    def announce(self) -> None:
        """Send the marks now, if there are any."""
        self._next_send_s = self._clock.monotonic_s() + _INTERVAL_S
        report = self._quarantine.report()
        if report.marks:
            self._send(group_messages.QuarantineNotice(report))

    def _send(self, notice: group_messages.QuarantineNotice) -> None:
        peers: service_exchange.Peers = {}
        for runtime in self._services:
            peers |= self._group_services.group(runtime.snapshot.settings)
        peers.pop(self._group_services.own, None)
        for address in peers.values():
            self._network.send(address, notice)

    def _on_notice(
        self,
        sender: messages.Sender,
        received: group_messages.QuarantineNotice,
    ) -> None:
        self._quarantine.receive_report(sender.instance_id, received.report)
