"""The metrics page of an entry instance, collected from all its parts."""

import dataclasses
import math

from sardinepier.core import clock as clocks
from sardinepier.daemon.internal import peer_traffic, task_set
from sardinepier.entry import request_metrics, service_registry
from sardinepier.gateway import active_requests
from sardinepier.membership import membership
from sardinepier.telemetry import exposition
from sardinepier.zones import carriers, expired_entries, platform_reader


@dataclasses.dataclass(frozen=True, slots=True)
class EntryMetrics:
    """Collects the metrics of the parts of an entry instance."""

    metrics: request_metrics.RequestMetrics
    services: service_registry.ServiceRegistry
    activity: active_requests.ActiveRequests
    guard: expired_entries.ExpiredEntryGuard
    carriers: carriers.Carriers
    membership: membership.Membership
    platform_reader: platform_reader.PlatformReader
    clock: clocks.Clock
    peer_traffic: peer_traffic.PeerTraffic
    tasks: task_set.TaskSet

    async def text(self) -> str:
        """Return the current metrics in the exposition format."""
        age_s = self.guard.age_s()
        confirmed_age_s = self.services.confirmation.age_s()
        gauges = (
            exposition.Gauge('requests_in_hand', self.activity.in_flight),
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
                self.platform_reader.unusable_entries.count,
            ),
            exposition.Gauge(
                'reading_faults',
                self.platform_reader.unexpected_failures,
            ),
            exposition.Gauge('part_failures', self.tasks.restarts),
            exposition.Gauge('members', len(self.membership.members())),
        )
        return await self.metrics.text(
            (
                *request_metrics.service_gauges(self.services),
                *request_metrics.elsewhere_gauges(
                    self.services, self.clock.monotonic_s()
                ),
                *gauges,
            ),
            self.peer_traffic.counter_values(),
        )
