"""Which targets lost a connection of late and have not answered since."""

from collections.abc import Collection

from sardinepier.core import ids


class LostTargets:
    """Targets by the time until which their latest loss counts.

    Of more than ``capacity``, those whose loss is oldest are forgotten.
    """

    def __init__(self, capacity: int) -> None:
        """Start without any."""
        self._capacity = capacity
        self._until_s: dict[ids.TargetId, float] = {}

    def note(
        self,
        target_id: ids.TargetId,
        now_s: float,
        until_s: float,
    ) -> None:
        """Take in a loss, which counts until ``until_s``."""
        self._until_s.pop(target_id, None)
        self._until_s[target_id] = until_s
        if len(self._until_s) > self._capacity:
            self._until_s = counting(self._until_s, now_s)
        if len(self._until_s) > self._capacity:
            del self._until_s[next(iter(self._until_s))]

    def answered(self, target_id: ids.TargetId) -> None:
        """Forget the loss of a target that has answered since."""
        self._until_s.pop(target_id, None)

    def count_beside(
        self,
        known: Collection[ids.TargetId],
        now_s: float,
    ) -> int:
        """Return how many were lost that are not among ``known``."""
        return sum(
            until_s > now_s and target_id not in known
            for target_id, until_s in self._until_s.items()
        )


def counting(
    deadlines: dict[ids.TargetId, float],
    now_s: float,
) -> dict[ids.TargetId, float]:
    """Return the deadlines that have not passed."""
    return {
        target_id: until_s
        for target_id, until_s in deadlines.items()
        if until_s > now_s
    }
