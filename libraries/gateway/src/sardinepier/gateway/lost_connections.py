"""Distinguishes a single crash of a target from repeated crashes."""

import dataclasses
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids

_EVENT_DURATION_S: Final = 1.0
_RECENT_S: Final = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Event:
    """One or more connection losses of a target within a short time."""

    ends_at_s: float
    recent_until_s: float
    follows_another: bool


class LostConnections:
    """Records when each target of a service last lost connections.

    A crash breaks all connections of a target within moments and in no fixed
    order, so these losses count as one event. A target that answers after an
    event has recovered, and its next loss is a new first event: several
    requests that each crash targets may follow one another.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        """Start without recorded losses."""
        self._clock = clock
        self._events: dict[ids.TargetId, _Event] = {}

    def record(self, target_id: ids.TargetId) -> bool:
        """Record a loss; return True if no other event preceded it recently."""
        now_s = self._clock.monotonic_s()
        last = self._events.get(target_id)
        if last is not None and now_s <= last.ends_at_s:
            return not last.follows_another
        is_recent = last is not None and now_s <= last.recent_until_s
        self._events[target_id] = _Event(
            now_s + _EVENT_DURATION_S,
            now_s + _RECENT_S,
            is_recent,
        )
        return not is_recent

    def record_answer(self, target_id: ids.TargetId) -> None:
        """Record a good answer, which clears an event that has ended."""
        last = self._events.get(target_id)
        if last is not None and self._clock.monotonic_s() > last.ends_at_s:
            del self._events[target_id]

    def keep(self, targets: frozenset[ids.TargetId]) -> None:
        """Remove all targets that are not in ``targets``."""
        self._events = {
            target: event
            for target, event in self._events.items()
            if target in targets
        }
