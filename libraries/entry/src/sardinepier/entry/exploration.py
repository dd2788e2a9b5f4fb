"""Targets that deserve a request although others look surer.

Requests gather on the surest targets. A target that joined later would never
be tried, and one that failed and has recovered would stay idle while requests
fail elsewhere for want of sound targets.

The users allow some sound targets to be idle, but not many of them for two
seconds while a tenth of the requests fail. All that is in flight may fail at
once, when power is lost, too late to spread requests then.
"""

import dataclasses
import math
from collections.abc import Iterable, Sequence
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.entry import (
    idle_threshold,
    target_cost,
    recent_failures,
    target_record,
    attempt_requirements,
)

_UNUSED_AFTER_S: Final = 2.0
"""A target that got nothing for so long after it came is tried next."""

_IDLE_TRIAL_S: Final = 0.4
"""An attempt that another one may follow costs little when it fails, so that
it goes to a target that was idle for so long at any time."""

_LONGEST_IDLE_S: Final = 1.7
"""Where no such attempt came by, others go there just in time."""

_DOUBTED_S: Final = 1.0
"""Pace of trials of a target that failed. While it fails each costs a hundredth
of a second and a repeat; the sooner it is known to be sound, the more there is
for others."""

_MOST_CHANCE: Final = 0.5
"""A target that fails more likely than not is no help."""


def find_unused(
    free: Iterable[target_record.TargetRecord],
    context: target_cost.SelectionContext,
) -> target_record.TargetRecord | None:
    """Return a target that waits for its first request.

    Like all that have a turn, it is of the own zone or of one that is lost.
    """
    for record in free:
        if record.was_ever_used() or not context.covers_zone(
            record.listed.zone
        ):
            continue
        if context.now_s > record.warm_from_s + _UNUSED_AFTER_S:
            return record
    return None


@dataclasses.dataclass(frozen=True, slots=True)
class ExplorationRule:
    """When an idle target has its turn.

    It was idle for ``idle_s`` and fails with a chance below ``most_chance``.
    """

    idle_s: float
    most_chance: float


SUSPECTED_RULE: Final = ExplorationRule(_DOUBTED_S, math.inf)
"""Whatever is believed of a target: for attempts that another may follow."""

ANY_TARGET_RULE: Final = ExplorationRule(_LONGEST_IDLE_S, math.inf)
"""Whatever is believed of a target, for attempts whose failure is final, while
many fail: it counts as sound two seconds after it failed."""


def find_longest_idle(
    free: Iterable[target_record.TargetRecord],
    context: target_cost.SelectionContext,
    due: ExplorationRule,
) -> target_record.TargetRecord | None:
    """Return the target of the own zone that has been idle for longest.

    Whoever of the zone used it counts. One to which the way was lost has no
    turn: a try would cost a third of a second, and it is no sound target.
    """
    now_s = context.now_s
    idle = [
        record
        for record in free
        if context.covers_zone(record.listed.zone)
        and not record.is_avoided(now_s)
        and now_s - record.last_known_use_s() > due.idle_s
        and record.failure_probability(now_s, context.typical_latency_s)
        < due.most_chance
    ]
    return min(
        idle,
        key=target_record.TargetRecord.last_known_use_s,
        default=None,
    )


class Explorer:
    """Finds the target of one service that has its turn, whoever is surest.

    ``recent`` has to be told of what becomes of requests.
    """

    def __init__(self, clock: clocks.Clock, least_used_share: float) -> None:
        """Keep ``least_used_share``, 0 to 1, of the sound targets in use."""
        self.recent = recent_failures.RecentFailures(clock)
        self._bound = idle_threshold.IdleThreshold(least_used_share)

    def find(
        self,
        free: Sequence[target_record.TargetRecord],
        known: Iterable[target_record.TargetRecord],
        requirements: attempt_requirements.AttemptRequirements,
        context: target_cost.SelectionContext,
    ) -> target_record.TargetRecord | None:
        """Return one of the ``free`` targets of those ``known``, or None.

        A second attempt of a request goes to the surest.
        """
        if requirements.tried:
            return None
        found = find_unused(free, context)
        for due in self._turns(known, requirements, context):
            found = found or find_longest_idle(free, context, due)
        return found

    def _turns(
        self,
        known: Iterable[target_record.TargetRecord],
        requirements: attempt_requirements.AttemptRequirements,
        context: target_cost.SelectionContext,
    ) -> tuple[ExplorationRule, ...]:
        """Return when targets have their turn, the first to go by first."""
        if not requirements.is_final_attempt:
            return (
                SUSPECTED_RULE,
                ExplorationRule(_IDLE_TRIAL_S, _MOST_CHANCE),
            )
        if self.recent.exceed_limit():
            return (ANY_TARGET_RULE,)
        most_chance = self._bound.chance(known, context)
        return (ExplorationRule(_LONGEST_IDLE_S, most_chance),)
