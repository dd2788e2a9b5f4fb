"""Exchanges evidence about targets within the group of a service."""

import weakref

import msgspec

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.daemon.internal import (
    group_messages,
    own_services,
    report_budget,
    service_exchange,
    target_directory,
)
from sardinepier.gateway import service_runtime, service_runtimes
from sardinepier.wire import messages, network

_Exchanges = weakref.WeakKeyDictionary[
    service_runtime.ServiceRuntime,
    service_exchange.ServiceExchange,
]


class GroupExchange:
    """Sends this daemon's evidence to its groups and applies theirs.

    A daemon takes part in a service when rendezvous hashing puts it into the
    service's group, or as a guest when it recently got a request for the
    service. The group exchanges reports with its guests as well.
    """

    def __init__(
        self,
        group_services: own_services.OwnServices,
        peer_network: network.PeerNetwork,
        services: service_runtimes.ServiceRuntimes,
        directory: target_directory.TargetDirectory,
        clock: clocks.Clock,
    ) -> None:
        """Subscribe to reports; nothing is sent before :meth:`tick`."""
        self._group_services = group_services
        self._network = peer_network
        self._services = services
        self._directory = directory
        self._clock = clock
        self._budget = report_budget.ReportBudget(clock)
        # Keyed by runtime, not by name: a service that is withdrawn and
        # published again gets a new runtime, whose exchange starts empty.
        self._exchanges: _Exchanges = weakref.WeakKeyDictionary()
        peer_network.subscribe(group_messages.GroupReport, self.receive_report)

    @property
    def spent_bytes(self) -> int:
        """The bytes of all reports sent since the start."""
        return self._budget.spent_bytes

    def guests(self, service: ids.ServiceName) -> frozenset[ids.InstanceId]:
        """Return the guests of a service that this daemon knows."""
        return frozenset(
            guest
            for runtime, exchange in self._exchanges.items()
            if _service_name(runtime) == service
            for guest in exchange.guests
        )

    def tick(self) -> None:
        """Send the reports that are due."""
        self._group_services.refresh()
        for runtime in self._services:
            if runtime.health.report_due() and self._group_services.takes_part(
                runtime
            ):
                self._send_report(runtime)

    def receive_report(
        self,
        sender: messages.Sender,
        received: group_messages.GroupReport,
    ) -> None:
        """Apply a peer's report; ignore one about a service without runtime."""
        for runtime in self._services:
            if _service_name(runtime) == received.service:
                self._receive_report(sender, received, runtime)

    def _send_report(self, runtime: service_runtime.ServiceRuntime) -> None:
        exchange = self._exchange(runtime)
        peers = self._peers(runtime, exchange)
        if not self._budget.can_spend(exchange.report_bytes, len(peers)):
            return
        now_s = self._clock.monotonic_s()
        report = exchange.writer.write(
            _service_name(runtime),
            runtime.health.report(),
            now_s,
        )
        if not exchange.is_worth_sending(report, now_s):
            return
        exchange.report_bytes = len(msgspec.msgpack.encode(report))
        self._budget.spend(exchange.report_bytes, len(peers))
        for address in peers.values():
            self._network.send(address, report)

    def _exchange(
        self,
        runtime: service_runtime.ServiceRuntime,
    ) -> service_exchange.ServiceExchange:
        return self._exchanges.setdefault(
            runtime,
            service_exchange.ServiceExchange(),
        )

    def _peers(
        self,
        runtime: service_runtime.ServiceRuntime,
        exchange: service_exchange.ServiceExchange,
    ) -> service_exchange.Peers:
        group = self._group_services.group(runtime.snapshot.settings)
        self._update_group(runtime, exchange, frozenset(group))
        peers = group | exchange.recent_guests(self._clock.monotonic_s())
        peers.pop(self._group_services.own, None)
        if peers.keys() - exchange.informed_peers:
            exchange.writer.renew()
        exchange.informed_peers = frozenset(peers)
        return peers

    def _update_group(
        self,
        runtime: service_runtime.ServiceRuntime,
        exchange: service_exchange.ServiceExchange,
        group: frozenset[ids.InstanceId],
    ) -> None:
        """Divide the slots of the targets among the group if it has changed.

        Guests get none: each daemon knows different guests, and daemons that
        divide the slots differently would compete for the same ones.
        """
        if group == exchange.applied_group:
            return
        exchange.applied_group = group
        own = self._group_services.own
        runtime.set_group(
            group - {own},
            own if own in group else None,
        )

    def _receive_report(
        self,
        sender: messages.Sender,
        received: group_messages.GroupReport,
        runtime: service_runtime.ServiceRuntime,
    ) -> None:
        exchange = self._exchange(runtime)
        observer = sender.instance_id
        if observer not in self._group_services.group(
            runtime.snapshot.settings
        ):
            exchange.record_guest(sender, self._clock.monotonic_s())
        report = exchange.reader(observer).read(received)
        if report is None:
            return
        self._learn_incarnations(runtime, received)
        runtime.health.receive_report(observer, report)
        runtime.slots.receive_report(
            observer,
            {row.target_id: row.in_flight for row in report.evidence},
        )

    def _learn_incarnations(
        self,
        runtime: service_runtime.ServiceRuntime,
        received: group_messages.GroupReport,
    ) -> None:
        learned = [
            self._directory.learn_if_unknown(
                received.service,
                target.target_id,
                target.incarnation,
            )
            for target in received.targets
        ]
        if any(learned):
            runtime.set_incarnations(
                self._directory.of_service(received.service),
            )


def _service_name(runtime: service_runtime.ServiceRuntime) -> ids.ServiceName:
    return runtime.snapshot.settings.name
