"""Which target gets a request: the one that most likely answers it well.

Everything is counted in chances of a failed request. Crossing zones or a slow
target is worth avoiding as much as a small chance of failure.
As a target that answered a moment ago is the surest one, requests gather on
few targets while there is little to do, and a target that starts to fail
hits few of them.
"""

import dataclasses
import math
import random
from collections.abc import Iterable
from typing import Final

from sardinepier.core import ids
from sardinepier.entry import target_record

_CROSSING_COST: Final = 0.06
"""What it is worth to keep a request within its zone. Daemons of other zones send
to the same target and don't tell what they have there: with five zones before a
hundred targets, an eighth of the requests met a target whose slots were full
while two thirds of all were free, and one in a hundred does with this cost. It is
as much as what a target is surer by that answered just now than one that did two
seconds ago; emulated, more than that gains nothing."""

_CROSSING_COST_PER_BYTE: Final = 5e-6
_SLOW_COST: Final = 0.06
"""Worth of each doubling of the usual latency."""

_COLD_COST: Final = 0.08
"""Worth of a warm target against one that has just started."""

_DISTANCE_COST: Final = 0.04
"""Spread by which daemons that send for a zone together keep apart. Each would
else send to the same surest targets at the same moment, whose few slots are
then full. It is more than what a target that answered a second ago is surer
by, and less than what one is worse by that may be failing."""

_TIE_SPREAD: Final = 0.002


@dataclasses.dataclass(frozen=True, slots=True)
class SelectionContext:
    """Where and when a request is sent.

    ``zone`` is the sender's, ``typical_latency_s`` the usual latency of the service
    and ``zone_cost`` what sending this request to another zone costs.
    ``shares_zone`` says that other daemons send for the zone, too. Targets of
    ``unreachable_zones`` have no daemon of their own that gives them their turn.
    """

    zone: ids.ZoneName
    now_s: float
    typical_latency_s: float
    zone_cost: float
    shares_zone: bool = False
    unreachable_zones: frozenset[ids.ZoneName] = frozenset()

    def covers_zone(self, zone: ids.ZoneName) -> bool:
        """Tell whether targets of ``zone`` have their turn here."""
        return zone == self.zone or zone in self.unreachable_zones


def zone_cost(forwarded_bytes: float) -> float:
    """Return what passing so many bytes to another zone and back costs."""
    return _CROSSING_COST + _CROSSING_COST_PER_BYTE * forwarded_bytes


def cost(
    record: target_record.TargetRecord, context: SelectionContext
) -> float:
    """Return what sending a request to the target costs, 0 to about 1."""
    now_s = context.now_s
    total = record.failure_probability(now_s, context.typical_latency_s)
    total += _SLOW_COST * max(0.0, record.latency_ratio - 1)
    if record.listed.zone != context.zone:
        total += context.zone_cost
    if context.shares_zone:
        total += _DISTANCE_COST * record.preference_offset
    if now_s < record.warm_from_s:
        total += _COLD_COST
    return total


def cheapest(
    free: Iterable[target_record.TargetRecord],
    wanted: Iterable[target_record.TargetRecord],
    tolerance: float,
    context: SelectionContext,
    random_source: random.Random,
) -> target_record.TargetRecord | None:
    """Return the one among ``free`` with the least cost.

    It costs at most ``tolerance`` more than the best one that is ``wanted``,
    whether free or not; those that are free are among them.
    """
    costs = {record: cost(record, context) for record in wanted}
    most_cost = min(costs.values(), default=math.inf) + tolerance
    spread = [
        (costs[record] + random_source.uniform(0, _TIE_SPREAD), record)
        for record in free
    ]
    least, chosen = min(spread, key=_first_of, default=(math.inf, None))
    return chosen if least <= most_cost + _TIE_SPREAD else None


def _first_of(pair: tuple[float, target_record.TargetRecord]) -> float:
    return pair[0]
