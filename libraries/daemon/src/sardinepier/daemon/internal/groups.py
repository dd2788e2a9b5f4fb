"""What the daemons of a service's group tell each other about targets."""

import weakref
from collections.abc import Callable
from typing import Final

import msgspec

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.daemon.internal import (
    group_messages,
    rate_budget,
    service_exchange,
    target_directory,
)
from sardinepier.gateway import service_runtime
from sardinepier.membership import groups
from sardinepier.membership import view as views
from sardinepier.once import quarantine as quarantines
from sardinepier.settings import model
from sardinepier.wire import messages, network

_REPORT_BYTES_PER_S: Final = 12_000
_REPORT_BURST_BYTES: Final = 96_000
_REPORTS_PER_S: Final = 16
_REPORT_BURST: Final = 192
_JOIN_INTERVAL_S: Final = 1.0
_QUARANTINE_INTERVAL_S: Final = 1.0

_Exchanges = weakref.WeakKeyDictionary[
    service_runtime.ServiceRuntime,
    service_exchange.ServiceExchange,
]


class GroupExchange:
    """Sends this daemon's evidence to its groups and takes in theirs.

    A daemon takes part in a service when rendezvous hashing puts it into the
    service's group, or as a guest when a request for the service came here
    all the same: then the group hears from it and answers in kind.
    """

    def __init__(
        self,
        view: views.View,
        peer_network: network.PeerNetwork,
        services: service_runtime.ServiceRuntimes,
        directory: target_directory.TargetDirectory,
        quarantine: quarantines.Quarantine,
        configuration: Callable[[], model.Configuration | None],
        clock: clocks.Clock,
    ) -> None:
        """Listen to reports; nothing is sent before :meth:`tick`."""
        self._view = view
        self._network = peer_network
        self._services = services
        self._directory = directory
        self._quarantine = quarantine
        self._configuration = configuration
        self._clock = clock
        self._byte_budget = rate_budget.RateBudget(
            clock,
            _REPORT_BYTES_PER_S,
            _REPORT_BURST_BYTES,
        )
        self._message_budget = rate_budget.RateBudget(
            clock,
            _REPORTS_PER_S,
            _REPORT_BURST,
        )
        self.spent_bytes = 0
        # By runtime, not by name: a service that is withdrawn and published
        # again starts anew, and so does what was told about it.
        self._exchanges: _Exchanges = weakref.WeakKeyDictionary()
        self._joined_version = -1
        self._joined_configuration: model.Configuration | None = None
        self._join_due_s = clock.monotonic_s()
        self._quarantine_due_s = clock.monotonic_s()
        peer_network.subscribe(group_messages.GroupReport, self.take_report)
        peer_network.subscribe(
            group_messages.QuarantineNotice,
            self._on_quarantine,
        )

    def guests(self, service: ids.ServiceName) -> frozenset[ids.InstanceId]:
        """Return who hears of a service here without being in its group."""
        return frozenset(
            guest
            for runtime, exchange in self._exchanges.items()
            if _name(runtime) == service
            for guest in exchange.guests
        )

    def tick(self) -> None:
        """Send the reports that are due."""
        self._join_groups()
        for runtime in self._services:
            if runtime.health.report_due():
                self._send_report(runtime)
        self._send_quarantine()

    def take_report(
        self,
        sender: messages.Sender,
        received: group_messages.GroupReport,
    ) -> None:
        """Take in a peer's report; of a service unknown here, nothing."""
        for runtime in self._services:
            if _name(runtime) == received.service:
                self._take_report(sender, received, runtime)

    def _join_groups(self) -> None:
        """Take part in the services whose group this daemon is in now."""
        current = self._configuration()
        if current is None:
            return
        now_s = self._clock.monotonic_s()
        if now_s < self._join_due_s or self._has_joined_for(current):
            return
        # While a zone is lost, the view changes with every tick. Going over
        # all services each time would take most of a core.
        self._join_due_s = now_s + _JOIN_INTERVAL_S
        self._joined_version = self._view.version
        self._joined_configuration = current
        self._directory.retain(current.services)
        own = self._view.own.instance_id
        for name, settings in current.services.items():
            if own in self._group(settings):
                self._services.get(name)

    def _has_joined_for(self, current: model.Configuration) -> bool:
        if self._view.version != self._joined_version:
            return False
        return current is self._joined_configuration

    def _group(self, settings: model.ServiceSettings) -> service_exchange.Peers:
        return {
            member.instance_id: member.peer_address
            for member in groups.service_group(
                self._view,
                settings.name,
                settings.group_daemons_per_zone,
            )
        }

    def _send_report(self, runtime: service_runtime.ServiceRuntime) -> None:
        exchange = self._exchange(runtime)
        peers = self._peers(runtime, exchange)
        if not self._may_send(exchange, len(peers)):
            return
        report = group_messages.GroupReport(
            _name(runtime),
            runtime.health.report(),
        )
        if not exchange.is_worth_sending(report, self._clock.monotonic_s()):
            return
        exchange.report_bytes = len(msgspec.msgpack.encode(report))
        self._byte_budget.spend(exchange.report_bytes * len(peers))
        self._message_budget.spend(len(peers))
        self.spent_bytes += exchange.report_bytes * len(peers)
        for address in peers.values():
            self._network.send(address, report)

    def _may_send(
        self, exchange: service_exchange.ServiceExchange, peer_count: int
    ) -> bool:
        expected_bytes = exchange.report_bytes * peer_count
        if not self._byte_budget.has(expected_bytes):
            return False
        return self._message_budget.has(peer_count)

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
        group = self._group(runtime.snapshot.settings)
        self._show_group(runtime, exchange, frozenset(group))
        peers = group | exchange.recent_guests(self._clock.monotonic_s())
        peers.pop(self._view.own.instance_id, None)
        return peers

    def _show_group(
        self,
        runtime: service_runtime.ServiceRuntime,
        exchange: service_exchange.ServiceExchange,
        group: frozenset[ids.InstanceId],
    ) -> None:
        """Let the slots be dealt among the group.

        Guests get none: each daemon knows other guests, and a deal that
        differs from daemon to daemon makes them collide.
        """
        if group == exchange.shown_group:
            return
        exchange.shown_group = group
        own = self._view.own.instance_id
        runtime.slots.set_group(
            group - {own},
            own if own in group else None,
        )

    def _take_report(
        self,
        sender: messages.Sender,
        received: group_messages.GroupReport,
        runtime: service_runtime.ServiceRuntime,
    ) -> None:
        self._learn_incarnations(runtime, received)
        exchange = self._exchange(runtime)
        if sender.instance_id not in self._group(runtime.snapshot.settings):
            exchange.note_guest(sender, self._clock.monotonic_s())
        runtime.health.heard(sender.instance_id, received.evidence)
        runtime.slots.heard(
            sender.instance_id,
            {
                row.target_id: row.in_flight
                for row in received.evidence.evidence
            },
        )

    def _learn_incarnations(
        self,
        runtime: service_runtime.ServiceRuntime,
        received: group_messages.GroupReport,
    ) -> None:
        news = [
            self._directory.fill(
                received.service,
                row.target_id,
                row.incarnation,
            )
            for row in received.evidence.evidence
        ]
        if any(news):
            runtime.set_incarnations(
                self._directory.of_service(received.service),
            )

    def _send_quarantine(self) -> None:
        now_s = self._clock.monotonic_s()
        if now_s < self._quarantine_due_s:
            return
        self._quarantine_due_s = now_s + _QUARANTINE_INTERVAL_S
        report = self._quarantine.report()
        if not report.marks:
            return
        peers: service_exchange.Peers = {}
        for runtime in self._services:
            peers |= self._group(runtime.snapshot.settings)
        peers.pop(self._view.own.instance_id, None)
        for address in peers.values():
            self._network.send(address, group_messages.QuarantineNotice(report))

    def _on_quarantine(
        self,
        sender: messages.Sender,
        received: group_messages.QuarantineNotice,
    ) -> None:
        self._quarantine.heard(sender.instance_id, received.report)


def _name(runtime: service_runtime.ServiceRuntime) -> ids.ServiceName:
    return runtime.snapshot.settings.name
