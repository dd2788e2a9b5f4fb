"""Telling a target that was struck once from one that keeps falling over."""

import dataclasses
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids

_SAME_EVENT_S: Final = 1.0
_MEMORY_S: Final = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Event:
    """A target lost its connections; all those of one moment are one event."""

    ends_at_s: float
    counts_until_s: float
    after_another: bool


class LostConnections:
    """When each target of a service last lost its connections.

    One crash cuts all connections of a target within moments, and in no
    certain order. They count as one event. A target that answers after an
    event has come back, so that its next loss stands for itself: several
    requests that each crash targets may come one after the other.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        """Start without losses."""
        self._clock = clock
        self._events: dict[ids.TargetId, _Event] = {}

    def record(self, target_id: ids.TargetId) -> bool:
        """Note a loss; True if the target had no other event of late."""
        now_s = self._clock.monotonic_s()
        last = self._events.get(target_id)
        if last is not None and now_s <= last.ends_at_s:
            return not last.after_another
        recent = last is not None and now_s <= last.counts_until_s
        self._events[target_id] = _Event(
            now_s + _SAME_EVENT_S,
            now_s + _MEMORY_S,
            recent,
        )
        return not recent

    def answered(self, target_id: ids.TargetId) -> None:
        """Note a good answer; an event that has ended is forgotten."""
        last = self._events.get(target_id)
        if last is not None and self._clock.monotonic_s() > last.ends_at_s:
            del self._events[target_id]

    def keep(self, targets: frozenset[ids.TargetId]) -> None:
        """Forget the targets that are not among ``targets``."""
        self._events = {
            target: event
            for target, event in self._events.items()
            if target in targets
        }
