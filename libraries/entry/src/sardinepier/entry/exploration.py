"""Exploration: requests to targets that are not the best, to learn of them.

Requests concentrate on the best targets. Without exploration a target that
joined later would never be used, and one that failed and has recovered would
stay idle while requests fail elsewhere for want of sound targets.

Some sound targets may be idle, but not many of them for two seconds while a
tenth of the requests fail. All requests in flight may fail at once in a power
failure, when it is too late to spread them.
"""

import dataclasses
import math
from collections.abc import Iterable, Sequence
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.entry import (
    attempt_requirements,
    idle_threshold,
    recent_failures,
    target_cost,
    target_record,
)

_UNUSED_AFTER_S: Final = 2.0
"""Time after its warm-up when a target that got no request yet is explored."""

_RETRYABLE_IDLE_S: Final = 0.4
"""Idle time after which a target is explored by an attempt that may be retried,
whose failure costs little."""

_MAX_IDLE_S: Final = 1.7
"""Idle time after which a target is explored by any attempt, just before it has
been idle for two seconds."""

_SUSPECTED_IDLE_S: Final = 1.0
"""Idle time after which a suspected target is explored. A failed exploration
costs a hundredth of a second and a retry. The sooner the target is known to be
sound, the more slots there are for other requests."""

_MAX_PROBABILITY: Final = 0.5
"""Targets that fail more likely than this are not explored."""


def find_unused(
    free: Iterable[target_record.TargetRecord],
    context: target_cost.SelectionContext,
) -> target_record.TargetRecord | None:
    """Return a target that never got a request.

    Only targets of the own zone and of unreachable zones are explored.
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
    """When an idle target is explored.

    It was idle for more than ``idle_s``, and its failure probability is below
    ``max_probability``.
    """

    idle_s: float
    max_probability: float


SUSPECTED_RULE: Final = ExplorationRule(_SUSPECTED_IDLE_S, math.inf)
"""For attempts that may be retried: any failure probability."""

ANY_TARGET_RULE: Final = ExplorationRule(_MAX_IDLE_S, math.inf)
"""For attempts that can't be retried, while many requests fail: any failure
probability, as a target counts as sound two seconds after it failed."""


def find_longest_idle(
    free: Iterable[target_record.TargetRecord],
    context: target_cost.SelectionContext,
    rule: ExplorationRule,
) -> target_record.TargetRecord | None:
    """Return the target that ``rule`` allows and that was idle for longest.

    A request of any daemon of the zone ends the idle time. A target that was
    unreachable a moment ago is not explored: a connection attempt would cost a
    third of a second, and the target does not count as sound.
    """
    now_s = context.now_s
    idle = [
        record
        for record in free
        if context.covers_zone(record.listed.zone)
        and not record.is_avoided(now_s)
        and now_s - record.last_known_use_s() > rule.idle_s
        and record.failure_probability(now_s, context.typical_latency_s)
        < rule.max_probability
    ]
    return min(
        idle,
        key=target_record.TargetRecord.last_known_use_s,
        default=None,
    )


class Explorer:
    """Selects the target of one service that is to be explored, if any.

    The owner records the outcome of each request in ``recent``.
    """

    def __init__(self, clock: clocks.Clock, min_used_share: float) -> None:
        """Keep ``min_used_share``, 0 to 1, of the sound targets in use."""
        self.recent = recent_failures.RecentFailures(clock)
        self._threshold = idle_threshold.IdleThreshold(min_used_share)

    def find(
        self,
        free: Sequence[target_record.TargetRecord],
        accepting: Iterable[target_record.TargetRecord],
        requirements: attempt_requirements.AttemptRequirements,
        context: target_cost.SelectionContext,
    ) -> target_record.TargetRecord | None:
        """Return the one of the ``free`` targets to explore, or None.

        ``accepting`` are all targets of the service that accept requests. Only
        the first attempt of a request explores.
        """
        if requirements.tried:
            return None
        found = find_unused(free, context)
        for rule in self._rules(accepting, requirements, context):
            found = found or find_longest_idle(free, context, rule)
        return found

    def _rules(
        self,
        accepting: Iterable[target_record.TargetRecord],
        requirements: attempt_requirements.AttemptRequirements,
        context: target_cost.SelectionContext,
    ) -> tuple[ExplorationRule, ...]:
        """Return the rules in force, in the order in which they apply."""
        if not requirements.is_final_attempt:
            return (
                SUSPECTED_RULE,
                ExplorationRule(_RETRYABLE_IDLE_S, _MAX_PROBABILITY),
            )
        if self.recent.exceeds_limit():
            return (ANY_TARGET_RULE,)
        max_probability = self._threshold.probability(accepting, context)
        return (ExplorationRule(_MAX_IDLE_S, max_probability),)
