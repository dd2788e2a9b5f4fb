"""Handover of a zone by a carrier that can't reach targets.

One daemon may lose the network path to targets that others still reach. As a
carrier it sends most of the zone's requests, so that it hands the zone over to
another daemon, which most likely still has a path.
"""

from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.entry import service_registry, target_record
from sardinepier.telemetry import logs
from sardinepier.zones import carriers, events, successors

_MIN_TARGETS: Final = 2
"""Unreachable targets of one service that cause a handover; a single one may be
gone itself."""

_MIN_TIMEOUTS: Final = 2
"""Consecutive connection timeouts at which a target is unreachable: a single
one happens to one in sixteen connections on a link that loses three packets in
a hundred."""

_MAX_FAILURE_PROBABILITY: Final = 0.5
"""Targets with at least this failure probability don't count as unreachable."""


class Handover:
    """Checks which targets one daemon reaches, and hands its zone over.

    For example::

        if handover.begin():
            announce_handover()
    """

    def __init__(
        self,
        services: service_registry.ServiceRegistry,
        zone_carriers: carriers.Carriers,
        search: successors.SuccessorSearch,
        clock: clocks.Clock,
    ) -> None:
        """Check the targets of ``services``.

        While none of them can be reached, ``search`` finds a successor.
        """
        self._search = search
        self._services = services
        self._carriers = zone_carriers
        self._clock = clock

    def begin(self) -> bool:
        """Hand the zone over if that is due; return whether it was done."""
        if self._services.is_cut_off_from_all():
            return self._begin_cut_off()
        unreachable = self._unreachable_targets()
        if not unreachable or not self._carriers.hand_over():
            return False
        logs.write(events.ZoneHandedOver(out_of_reach=unreachable))
        return True

    def _begin_cut_off(self) -> bool:
        if not self._search.step():
            return False
        logs.write(
            events.ZoneHandedOver(out_of_reach=self._services.failed_targets())
        )
        return True

    def _unreachable_targets(self) -> list[ids.TargetId]:
        """Return the unreachable targets of the first service with enough."""
        now_s = self._clock.monotonic_s()
        for pool in self._services.pools():
            unreachable = [
                record.listed.target_id
                for record in pool.targets.records()
                if _is_unreachable(record, now_s)
            ]
            if len(unreachable) >= _MIN_TARGETS:
                return unreachable
        return []


def _is_unreachable(record: target_record.TargetRecord, now_s: float) -> bool:
    if record.failed_connects < _MIN_TIMEOUTS:
        return False
    return record.estimate.failing_probability(now_s) < _MAX_FAILURE_PROBABILITY
