"""The figures that one entry instance shows, from all who know some."""

import dataclasses
import math

from sardinepier.entry import measures, services
from sardinepier.gateway import in_hand
from sardinepier.membership import membership
from sardinepier.telemetry import exposition
from sardinepier.zones import carriers, lapses, reading


@dataclasses.dataclass(frozen=True, slots=True)
class EntryFigures:
    """Where the figures come from."""

    measures: measures.Measures
    services: services.Services
    activity: in_hand.InHand
    guard: lapses.LapseGuard
    carriers: carriers.Carriers
    membership: membership.Membership
    reading: reading.PlatformReading

    async def text(self) -> str:
        """Return all figures as they are now."""
        age_s = self.guard.age_s()
        confirmed_age_s = self.services.confirmation.age_s()
        gauges = (
            exposition.Gauge('requests_in_hand', self.activity.in_hand),
            exposition.Gauge(
                'targets_age_s',
                math.inf if age_s is None else age_s,
            ),
            exposition.Gauge(
                'confirmed_age_s',
                math.inf if confirmed_age_s is None else confirmed_age_s,
            ),
            exposition.Gauge('carriers', self.carriers.count),
            exposition.Gauge('is_carrier', self.carriers.is_carrier()),
            exposition.Gauge(
                'unusable_entries',
                self.reading.passed_over.entries,
            ),
            exposition.Gauge('members', len(self.membership.members())),
        )
        return await self.measures.text(
            (*measures.of_services(self.services), *gauges),
        )
