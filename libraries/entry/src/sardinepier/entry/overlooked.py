"""Targets that deserve a request although others look surer.

Requests gather on the surest targets. A target that joined later would never
be tried, and one that failed and has recovered would stay idle while requests
fail elsewhere for want of sound targets.
"""

import dataclasses
import math
from collections.abc import Iterable
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.entry import preference, target_record

_UNUSED_AFTER_S: Final = 2.0
"""A target that got nothing for so long after it came is tried next."""

_IDLE_S: Final = 1.0
"""While requests fail, no target is left idle for longer: the users allow
two seconds of it."""

_IDLE_TRIAL_S: Final = 0.4
"""An attempt that another one may follow costs little when it fails, so that
it goes to a target that was idle for so long at any time. Failures may come
all at once, when a site loses power, too late to spread requests then."""

_LONGEST_IDLE_S: Final = 1.7
"""Where no such attempt came by, others go there just in time."""

_DOUBTED_S: Final = 1.0
"""Pace of trials of a target that failed. While it fails each costs a hundredth
of a second and a repeat; the sooner it is known to be sound, the more there is
for others."""

_FAILING_SHARE: Final = 0.07
"""Share of failed attempts from which targets are not left idle: the users
allow a tenth of the requests to fail while some are. On calm days two to four
in a hundred fail."""

_MOST_CHANCE: Final = 0.5
"""A target that fails more likely than not is no help."""

_MOST_LAST_CHANCE: Final = 0.3
"""The same for an attempt whose failure is final, while few fail: just above
the chance of a target of which nothing is known."""

_MEMORY_S: Final = 2.0
_ENOUGH: Final = 4.0
"""Attempts within the memory below which their share says little."""


class RecentFailures:
    """The share of attempts that failed within the last seconds."""

    def __init__(self, clock: clocks.Clock) -> None:
        """Start without any attempt."""
        self._clock = clock
        self._attempts = 0.0
        self._failures = 0.0
        self._updated_s = clock.monotonic_s()

    def note(self, *, is_failure: bool) -> None:
        """Take in how one attempt ended."""
        self._fade()
        self._attempts += 1
        self._failures += is_failure

    def are_many(self) -> bool:
        """Tell whether enough fail to use every target that may do."""
        self._fade()
        if self._attempts < _ENOUGH:
            return False
        return self._failures > _FAILING_SHARE * self._attempts

    def _fade(self) -> None:
        now_s = self._clock.monotonic_s()
        kept = math.exp((self._updated_s - now_s) / _MEMORY_S)
        self._attempts *= kept
        self._failures *= kept
        self._updated_s = now_s


def unused(
    free: Iterable[target_record.TargetRecord],
    situation: preference.Situation,
) -> target_record.TargetRecord | None:
    """Return a target of the own zone that waits for its first request."""
    for record in free:
        if record.was_used or record.listed.zone != situation.zone:
            continue
        if situation.now_s > record.warm_at_s + _UNUSED_AFTER_S:
            return record
    return None


@dataclasses.dataclass(frozen=True, slots=True)
class Turn:
    """When an idle target has its turn.

    It was idle for ``idle_s`` and fails with a chance below ``most_chance``.
    """

    idle_s: float
    most_chance: float


DOUBTED: Final = Turn(_DOUBTED_S, math.inf)
"""Whatever is believed of a target: for attempts that another may follow."""


def turn(*, is_last: bool, are_many_failing: bool) -> Turn:
    """Return when a target has its turn with the attempt at hand.

    ``is_last`` says that a failure of the attempt would be final.
    """
    if not is_last:
        return Turn(_IDLE_TRIAL_S, _MOST_CHANCE)
    if are_many_failing:
        return Turn(_IDLE_S, _MOST_CHANCE)
    return Turn(_LONGEST_IDLE_S, _MOST_LAST_CHANCE)


def neglected(
    free: Iterable[target_record.TargetRecord],
    situation: preference.Situation,
    due: Turn,
) -> target_record.TargetRecord | None:
    """Return the target of the own zone that has been idle for longest.

    Whoever of the zone used it counts.
    """
    now_s = situation.now_s
    idle = [
        record
        for record in free
        if record.listed.zone == situation.zone
        and now_s - record.seen_used_s() > due.idle_s
        and record.failure_chance(now_s, situation.usual_s) < due.most_chance
    ]
    return min(
        idle,
        key=target_record.TargetRecord.seen_used_s,
        default=None,
    )
