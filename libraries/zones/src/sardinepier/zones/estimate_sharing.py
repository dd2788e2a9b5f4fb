"""Beliefs on their way to carriers: of the own zone, and of the others.

Between zones only the first carriers exchange them, and pass them on to the
others of their zone with their beats.
"""

from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.entry import service_registry, target_record
from sardinepier.wire import messages as wire_messages
from sardinepier.wire import network
from sardinepier.zones import (
    estimate_updates,
    carriers,
    unreachable_zones,
    messages,
    statements,
)

_OTHER_ZONES_S: Final = 0.5
"""Pace of news to other zones, where bytes are dear."""

_SIGN_S: Final = 0.2
"""Pace of reports without any news, by which other zones know that this one is
carried: a zone that falls silent has to be known within a second
(:mod:`sardinepier.zones.unreachable_zones`). Less than the interval of beats, with each of
which one goes out."""


class EstimateSharing:
    """Sends beliefs to carriers, and takes in what is sent to this daemon."""

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
        self._held = held
        self._clock = clock
        self._zone_news = estimate_updates.for_own_zone(held, clock)
        self._other_news = estimate_updates.for_other_zones(held, clock)
        self._zone_stated = statements.for_own_zone(held, clock)
        self._other_stated = statements.for_other_zones(held, clock)
        self._other_news_due_s = clock.monotonic_s()
        self._sign_due_s = clock.monotonic_s()
        self.unreachable_zones = unreachable_zones.UnreachableZones(clock)
        peer_network.subscribe(messages.BeliefReport, self._on_report)

    def for_own_zone(self) -> tuple[messages.TargetEstimate, ...]:
        """Return what is new for the own zone; each is returned once."""
        return self._zone_news.take()

    def stated_for_own_zone(self) -> tuple[messages.StatementUpdate, ...]:
        """Return what targets said anew; each is returned once."""
        return self._zone_stated.take()

    def take_from_zone(
        self,
        told: messages.ZoneBeat | messages.BeliefReport,
    ) -> None:
        """Take in what another daemon of the zone saw."""
        self._take_in(told, target_record.ObservationSource.ZONE)

    def to_carriers(self) -> None:
        """Tell the carriers of the own zone what is new, if anything is."""
        news = self._zone_news.take()
        stated = self._zone_stated.take()
        if not news and not stated:
            return
        report = messages.BeliefReport(news, stated=stated)
        for member in self._carriers.of_own_zone():
            self._network.send(member.peer_address, report)

    def to_other_zones(self) -> None:
        """Tell the first carriers of the other zones, if it is time."""
        now_s = self._clock.monotonic_s()
        if now_s < self._sign_due_s:
            return
        self._sign_due_s = now_s + _SIGN_S
        report = messages.BeliefReport(
            self._due_for_other_zones(now_s),
            stated=self._other_stated.take(),
        )
        for member in self._carriers.of_other_zones():
            self._network.send(member.peer_address, report)

    def _due_for_other_zones(
        self,
        now_s: float,
    ) -> tuple[messages.TargetEstimate, ...]:
        if now_s < self._other_news_due_s:
            return ()
        self._other_news_due_s = now_s + _OTHER_ZONES_S
        return self._other_news.take()

    def _on_report(
        self,
        sender: wire_messages.Sender,
        report: messages.BeliefReport,
    ) -> None:
        if not self._carriers.is_neighbour(sender.instance_id):
            zone = self._carriers.zone_of(sender.instance_id)
            self._from_other_zone(zone, report)
            self._pass_on(zone, report)
        elif report.of_zone is not None:
            self._from_other_zone(report.of_zone, report)
        else:
            self.take_from_zone(report)

    def _from_other_zone(
        self,
        zone: ids.ZoneName | None,
        report: messages.BeliefReport,
    ) -> None:
        if zone is not None:
            self.unreachable_zones.heard(zone)
        self._take_in(report, target_record.ObservationSource.OTHER_ZONE)

    def _take_in(
        self,
        told: messages.ZoneBeat | messages.BeliefReport,
        source: target_record.ObservationSource,
    ) -> None:
        estimate_updates.take_in(self._held, self._clock, told.beliefs, source)
        statements.take_in(self._held, self._clock, told.stated, source)

    def _pass_on(
        self,
        zone: ids.ZoneName | None,
        report: messages.BeliefReport,
    ) -> None:
        """Hand a report to who carries the zone first now.

        Other zones don't hear that this daemon stood down.
        """
        if self._carriers.is_first():
            return
        passed_on = messages.BeliefReport(report.beliefs, zone, report.stated)
        for member in self._carriers.of_own_zone()[:1]:
            self._network.send(member.peer_address, passed_on)
