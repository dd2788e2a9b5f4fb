"""Which target gets a request: the one that most likely answers it well.

Everything is counted in chances of a failed request. Crossing zones, a slow
target or a busy one is worth avoiding as much as a small chance of failure.
As a target that answered a moment ago is the surest one, requests gather on
few targets while there is little to do, and a target that starts to fail
hits few of them.
"""

import random
from collections.abc import Iterable
from typing import Final

from sardinepier.core import ids
from sardinepier.entry import target_record

_ZONE_COST: Final = 0.02
"""What sending a request to another zone is worth avoiding: its bytes cost
as much as about one failed request in fifty."""

_SLOW_COST: Final = 0.06
"""Worth of each doubling of the usual latency."""

_BUSY_COST: Final = 0.01
"""Worth of an idle target against one with all slots but one in use."""

_OVERDUE_CHANCE: Final = 0.6
"""Chance of failure at a target with an attempt that is long overdue."""

_COLD_COST: Final = 0.08
"""Worth of a warm target against one that has just started."""

_TIE_SPREAD: Final = 0.002


def cost(
    record: target_record.TargetRecord,
    zone: ids.ZoneName,
    now_s: float,
    usual_s: float,
) -> float:
    """Return what sending a request from ``zone`` now costs, 0 to about 1."""
    chance = record.belief.failure_chance(now_s)
    if record.is_overdue(now_s, usual_s):
        chance = max(chance, _OVERDUE_CHANCE)
    total = chance + _SLOW_COST * max(0.0, record.pace - 1)
    total += _BUSY_COST * record.in_flight(now_s) / record.listed.slots
    if record.listed.zone != zone:
        total += _ZONE_COST
    if now_s < record.added_s + record.listed.warm_in_s:
        total += _COLD_COST
    return total


def surest(
    candidates: Iterable[target_record.TargetRecord],
    zone: ids.ZoneName,
    now_s: float,
    usual_s: float,
    random_source: random.Random,
) -> target_record.TargetRecord | None:
    """Return the candidate with the least cost, None without any."""
    return min(
        candidates,
        key=lambda record: (
            cost(record, zone, now_s, usual_s)
            + random_source.uniform(0, _TIE_SPREAD)
        ),
        default=None,
    )
