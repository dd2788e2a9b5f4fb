"""Targets that recently lost a connection and have not answered since."""

from collections.abc import Collection

from sardinepier.core import ids


class LostTargets:
    """Recently lost targets, each with the expiry of its latest loss.

    Beyond ``capacity`` targets, the one with the oldest loss is dropped.
    """

    def __init__(self, capacity: int) -> None:
        """Start without lost targets."""
        self._capacity = capacity
        self._until_s: dict[ids.TargetId, float] = {}

    def record(
        self,
        target_id: ids.TargetId,
        now_s: float,
        until_s: float,
    ) -> None:
        """Record the loss of a target, which expires at ``until_s``."""
        self._until_s.pop(target_id, None)
        self._until_s[target_id] = until_s
        if len(self._until_s) > self._capacity:
            self._until_s = unexpired(self._until_s, now_s)
        if len(self._until_s) > self._capacity:
            del self._until_s[next(iter(self._until_s))]

    def answered(self, target_id: ids.TargetId) -> None:
        """Drop the loss of a target that has answered since."""
        self._until_s.pop(target_id, None)

    def count_except(
        self,
        excluded: Collection[ids.TargetId],
        now_s: float,
    ) -> int:
        """Return the number of lost targets that are not in ``excluded``."""
        return sum(
            until_s > now_s and target_id not in excluded
            for target_id, until_s in self._until_s.items()
        )


def unexpired(
    deadlines: dict[ids.TargetId, float],
    now_s: float,
) -> dict[ids.TargetId, float]:
    """Return the deadlines that are after ``now_s``."""
    return {
        target_id: until_s
        for target_id, until_s in deadlines.items()
        if until_s > now_s
    }
