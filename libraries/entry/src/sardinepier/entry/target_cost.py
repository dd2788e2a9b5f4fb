"""The cost of sending a request to a target, and the cheapest target.

Costs are in units of the probability that the request fails. Another zone or a
slow target costs as much as a small failure probability.
A target that answered a moment ago has the lowest failure probability, so that
at low load requests concentrate on few targets, and a target that starts to
fail affects few of them.
"""

import dataclasses
import math
import random
from collections.abc import Iterable
from typing import Final

from sardinepier.core import ids
from sardinepier.entry import target_record

_CROSS_ZONE_COST: Final = 0.06
"""Cost of a request to a target in another zone. Daemons of other zones send to
the same targets and don't report their requests in flight. Without this cost,
with five zones and a hundred targets, an eighth of the requests reached a
target whose slots were full while two thirds of all slots were free; with it,
one in a hundred. It equals the difference in failure probability between a
target that answered just now and one that answered two seconds ago. In the
emulator a higher cost gained nothing."""

_CROSS_ZONE_COST_PER_BYTE: Final = 5e-6
_SLOW_COST: Final = 0.06
"""Cost of each further multiple of the typical latency."""

_REFUSAL_COST: Final = 0.3
"""Cost of a target that is certain to shed the request, which then has not run
and needs a part of the retry budget."""

_WARMUP_COST: Final = 0.08
"""Cost of a target that has just started and is still slow."""

_REPORTED_FULL_COST: Final = 0.1
"""Cost of a target whose slots are in use by the reports of other daemons. Such
a target queues the request, or sheds it, and then it can be sent again. A request
that runs only once and fails is lost: without this cost, where reports left only
suspected targets free, 277 instead of 168 holds failed in 15 s."""

_OFFSET_COST: Final = 0.04
"""Greatest random offset by which daemons that send for the same zone prefer
different targets. Otherwise all would send to the same best targets at the same
moment and fill their few slots. It is more than a target gains in failure
probability by an answer a second ago, and less than a target that may be
failing loses."""

_TIE_SPREAD: Final = 0.002


@dataclasses.dataclass(frozen=True, slots=True)
class SelectionContext:
    """Where and when a request is sent.

    ``zone`` is the sender's, ``typical_latency_s`` that of the service and
    ``zone_cost`` the cost of sending this request to another zone.
    ``shares_zone`` says that other daemons send for the zone, too. Targets in
    ``unreachable_zones`` have no daemon of their own zone that explores them.
    """

    zone: ids.ZoneName
    now_s: float
    typical_latency_s: float
    zone_cost: float
    shares_zone: bool = False
    unreachable_zones: frozenset[ids.ZoneName] = frozenset()

    def covers_zone(self, zone: ids.ZoneName) -> bool:
        """Return whether this daemon explores targets of ``zone``."""
        return zone == self.zone or zone in self.unreachable_zones


def zone_cost(forwarded_bytes: float) -> float:
    """Return the cost of forwarding so many bytes to another zone and back."""
    return _CROSS_ZONE_COST + _CROSS_ZONE_COST_PER_BYTE * forwarded_bytes


def cost(
    record: target_record.TargetRecord, context: SelectionContext
) -> float:
    """Return the cost of sending a request to the target, 0 to about 1."""
    now_s = context.now_s
    total = record.failure_probability(now_s, context.typical_latency_s)
    total += _SLOW_COST * max(0.0, record.latency_ratio - 1)
    total += _REFUSAL_COST * record.refusal.probability(now_s)
    if record.listed.zone != context.zone:
        total += context.zone_cost
    if context.shares_zone:
        total += _OFFSET_COST * record.preference_offset
    if _is_full_by_reports(record, now_s):
        total += _REPORTED_FULL_COST
    if now_s < record.warm_from_s:
        total += _WARMUP_COST
    return total


def cheapest(
    free: Iterable[target_record.TargetRecord],
    candidates: Iterable[target_record.TargetRecord],
    tolerance: float,
    context: SelectionContext,
    random_source: random.Random,
) -> target_record.TargetRecord | None:
    """Return the target among ``free`` with the lowest cost.

    It costs at most ``tolerance`` more than the best of the ``candidates``,
    which include the free targets and those without a free slot.
    """
    costs = {record: cost(record, context) for record in candidates}
    max_cost = min(costs.values(), default=math.inf) + tolerance
    jittered = [
        (costs[record] + random_source.uniform(0, _TIE_SPREAD), record)
        for record in free
    ]
    min_cost, chosen = min(
        jittered, key=_jittered_cost, default=(math.inf, None)
    )
    return chosen if min_cost <= max_cost + _TIE_SPREAD else None


def _is_full_by_reports(
    record: target_record.TargetRecord, now_s: float
) -> bool:
    """Return whether only reports of other daemons leave it no free slot."""
    return record.may_have_free_slot(now_s) and record.free_slots(now_s) <= 0


def _jittered_cost(pair: tuple[float, target_record.TargetRecord]) -> float:
    return pair[0]
