"""When a carrier hands its zone over to another daemon.

The way from one daemon to some targets may be lost while others still reach
them. A carrier sends most of its zone's requests, so that it is the wrong one
to carry on: another daemon of the zone most likely has the way.
"""

from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.entry import service_registry, target_record
from sardinepier.telemetry import logs
from sardinepier.zones import carriers, events

_LEAST_TARGETS: Final = 2
"""Targets of one service out of reach at once: a single one may be gone."""

_LEAST_CONNECTS: Final = 2
"""Connections that timed out in a row: over a link that loses three packets in a
hundred, one in sixteen does."""

_FAILING: Final = 0.5
"""Targets that fail more likely than not are no loss."""


class Handover:
    """Watches what one daemon reaches, and hands its zone over.

    For example::

        if handover.begin():
            tell_the_zone()
    """

    def __init__(
        self,
        held: service_registry.ServiceRegistry,
        chosen: carriers.Carriers,
        clock: clocks.Clock,
    ) -> None:
        """Watch the targets of ``held``."""
        self._held = held
        self._carriers = chosen
        self._clock = clock

    def begin(self) -> bool:
        """Stand down if that is due; tell whether this daemon now does."""
        lost = self._lost()
        if not lost or not self._carriers.hand_over():
            return False
        logs.write(events.ZoneHandedOver(out_of_reach=lost))
        return True

    def _lost(self) -> list[ids.TargetId]:
        """Return the targets of the first service that is out of reach."""
        now_s = self._clock.monotonic_s()
        for pool in self._held.pools():
            lost = [
                record.listed.target_id
                for record in pool.targets.records()
                if _is_lost(record, now_s)
            ]
            if len(lost) >= _LEAST_TARGETS:
                return lost
        return []


def _is_lost(record: target_record.TargetRecord, now_s: float) -> bool:
    if record.failed_connects < _LEAST_CONNECTS:
        return False
    return record.estimate.failing_probability(now_s) < _FAILING
