"""Exchange of target estimates and statements with carriers.

Between zones only the first carriers exchange them. A first carrier forwards
what it receives to the daemons of its zone with its heartbeats.
"""

from collections.abc import Callable
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.entry import service_registry, target_record
from sardinepier.wire import messages as wire_messages
from sardinepier.wire import network
from sardinepier.zones import (
    carriers,
    estimate_updates,
    messages,
    statements,
    unreachable_zones,
)

_ESTIMATE_INTERVAL_S: Final = 0.5
"""Interval of estimates to other zones, where traffic is expensive."""

_REPORT_INTERVAL_S: Final = 0.2
"""Minimum interval of reports to other zones, which also go out without updates
unless the receiver regularly gets usage of limits: the absence of reports has to show an unreachable zone within a second
(:mod:`sardinepier.zones.unreachable_zones`). It is shorter than the interval of
heartbeats, so that a report goes out with each of these."""

_EMPTY_REPORT: Final = messages.BeliefReport(())


class EstimateSharing:
    """Sends estimates and statements to carriers, and applies received ones."""

    def __init__(
        self,
        peer_network: network.PeerNetwork,
        zone_carriers: carriers.Carriers,
        services: service_registry.ServiceRegistry,
        clock: clocks.Clock,
    ) -> None:
        """Listen on ``peer_network``; nothing is sent yet.

        ``sends_regularly_to`` returns whether a daemon regularly gets other
        messages of this one, and needs no empty reports. It is set by the code
        that sends those.
        """
        self._network = peer_network
        self._carriers = zone_carriers
        self._services = services
        self._clock = clock
        self._zone_estimates = estimate_updates.for_own_zone(services, clock)
        self._other_zone_estimates = estimate_updates.for_other_zones(
            services, clock
        )
        self._zone_statements = statements.for_own_zone(services, clock)
        self._other_zone_statements = statements.for_other_zones(
            services, clock
        )
        self._estimates_due_s = clock.monotonic_s()
        self._report_due_s = clock.monotonic_s()
        self.sends_regularly_to: Callable[[ids.InstanceId], bool] = _never
        self.unreachable_zones = unreachable_zones.UnreachableZones(clock)
        peer_network.subscribe(messages.BeliefReport, self._on_report)

    def collect_estimates(self) -> tuple[messages.TargetEstimate, ...]:
        """Return the new estimates for the own zone, each of them once."""
        return self._zone_estimates.collect()

    def collect_statements(self) -> tuple[messages.StatementUpdate, ...]:
        """Return the new statements for the own zone, each of them once."""
        return self._zone_statements.collect()

    def apply_zone_updates(
        self,
        received: messages.ZoneBeat | messages.BeliefReport,
    ) -> None:
        """Apply the observations of another daemon of the zone."""
        self._apply(received, target_record.ObservationSource.ZONE)

    def send_to_carriers(self) -> None:
        """Send updates to the carriers of the own zone, if there are any."""
        estimates = self._zone_estimates.collect()
        new_statements = self._zone_statements.collect()
        if not estimates and not new_statements:
            return
        report = messages.BeliefReport(estimates, statements=new_statements)
        for member in self._carriers.of_own_zone():
            self._network.send(member.peer_address, report)

    def send_to_other_zones(self) -> None:
        """Send a report to the first carriers of other zones, if it is due."""
        now_s = self._clock.monotonic_s()
        if now_s < self._report_due_s:
            return
        self._report_due_s = now_s + _REPORT_INTERVAL_S
        report = messages.BeliefReport(
            self._collect_due_estimates(now_s),
            statements=self._other_zone_statements.collect(),
            is_cut_off=self._services.is_cut_off_from_all(),
        )
        is_empty = not (
            report.estimates or report.statements or report.is_cut_off
        )
        for member in self._carriers.of_other_zones():
            if not (is_empty and self.sends_regularly_to(member.instance_id)):
                self._network.send(member.peer_address, report)

    def record_reachable(self, zone: ids.ZoneName) -> None:
        """Record that a carrier of ``zone`` sent something regular.

        It stands for an empty report, which also has to reach the own zone's
        first carrier after a handover.
        """
        if zone == self._carriers.own_zone:
            return
        self.unreachable_zones.record_report(zone)
        if carriers.is_ranked_first(self._carriers):
            self._forward(zone, _EMPTY_REPORT)

    def _collect_due_estimates(
        self,
        now_s: float,
    ) -> tuple[messages.TargetEstimate, ...]:
        if now_s < self._estimates_due_s:
            return ()
        self._estimates_due_s = now_s + _ESTIMATE_INTERVAL_S
        return self._other_zone_estimates.collect()

    def _on_report(
        self,
        sender: wire_messages.Sender,
        report: messages.BeliefReport,
    ) -> None:
        if not self._carriers.is_zone_peer(sender.instance_id):
            zone = self._carriers.zone_of(sender.instance_id)
            self._apply_other_zone(zone, report)
            self._forward(zone, report)
        elif report.of_zone is not None:
            self._apply_other_zone(report.of_zone, report)
        else:
            self.apply_zone_updates(report)

    def _apply_other_zone(
        self,
        zone: ids.ZoneName | None,
        report: messages.BeliefReport,
    ) -> None:
        if zone is not None:
            self.unreachable_zones.record_report(zone)
        if zone is not None and report.is_cut_off:
            self.unreachable_zones.record_cut_off(zone)
        self._apply(report, target_record.ObservationSource.OTHER_ZONE)

    def _apply(
        self,
        received: messages.ZoneBeat | messages.BeliefReport,
        source: target_record.ObservationSource,
    ) -> None:
        estimate_updates.apply_updates(
            self._services, self._clock, received.estimates, source
        )
        statements.apply_updates(
            self._services, self._clock, received.statements, source
        )

    def _forward(
        self,
        zone: ids.ZoneName | None,
        report: messages.BeliefReport,
    ) -> None:
        """Forward a report to the zone's current first carrier.

        Other zones aren't informed when this daemon hands its zone over.
        """
        if self._carriers.is_first():
            return
        forwarded = messages.BeliefReport(
            report.estimates, zone, report.statements, report.is_cut_off
        )
        for member in self._carriers.of_own_zone()[:1]:
            self._network.send(member.peer_address, forwarded)


def _never(receiver: ids.InstanceId) -> bool:
    """Return that nothing else is sent: the default of ``sends_regularly_to``."""
    return False
