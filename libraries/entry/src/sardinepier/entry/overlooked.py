"""Targets that deserve a request although others look surer.

Requests gather on the surest targets. A target that joined later would never
be tried, and one that failed and has recovered would stay idle while requests
fail elsewhere for want of sound targets.
"""

import math
from collections.abc import Iterable
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.entry import target_record

_UNUSED_AFTER_S: Final = 2.0
"""A target that got nothing for so long after it came is tried next."""

_IDLE_S: Final = 1.0
"""While requests fail, no target is left idle for longer: the users allow
two seconds of it."""

_FAILING_SHARE: Final = 0.07
"""Share of failed attempts from which targets are not left idle: the users
allow a tenth of the requests to fail while some are. On calm days two to four
in a hundred fail."""

_MOST_CHANCE: Final = 0.5
"""A target that fails more likely than not is no help."""

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
    zone: ids.ZoneName,
    now_s: float,
) -> target_record.TargetRecord | None:
    """Return a target of ``zone`` that waits for its first request."""
    for record in free:
        if record.was_used or record.listed.zone != zone:
            continue
        if now_s > record.warm_at_s + _UNUSED_AFTER_S:
            return record
    return None


def neglected(
    free: Iterable[target_record.TargetRecord],
    zone: ids.ZoneName,
    now_s: float,
    usual_s: float,
) -> target_record.TargetRecord | None:
    """Return the target of ``zone`` that has been idle for longest."""
    idle = [
        record
        for record in free
        if record.listed.zone == zone
        and now_s - record.last_used_s > _IDLE_S
        and record.failure_chance(now_s, usual_s) < _MOST_CHANCE
    ]
    return min(idle, key=lambda record: record.last_used_s, default=None)
