"""Keeps a daemon away from targets that shed, for a moment."""

import heapq
import random
from typing import Final

from sardinepier.core import ids

_GROWTH: Final = 2


class BackOff:
    """Targets that get nothing until a stored local time."""

    def __init__(
        self,
        random_source: random.Random,
        first_s: float,
        limit_s: float,
    ) -> None:
        """Hold a target for about ``first_s``, growing up to ``limit_s``."""
        self._random = random_source
        self._first_s = first_s
        self._limit_s = limit_s
        self._until_s: dict[ids.TargetId, float] = {}
        self._next_s: dict[ids.TargetId, float] = {}
        self._ends: list[tuple[float, ids.TargetId]] = []

    def start(self, target_id: ids.TargetId, now_s: float) -> None:
        """Hold the target from now on, longer with each time in a row.

        The length is drawn between half and one and a half of its mean, so
        that daemons which were shed together don't try again together.
        """
        mean_s = self._next_s.get(target_id, self._first_s)
        until_s = now_s + mean_s * (0.5 + self._random.random())
        self._until_s[target_id] = until_s
        self._next_s[target_id] = min(self._limit_s, mean_s * _GROWTH)
        heapq.heappush(self._ends, (until_s, target_id))

    def clear(self, target_id: ids.TargetId) -> None:
        """Forget the row of shed replies; a running hold still ends."""
        self._next_s.pop(target_id, None)

    def holds(self, target_id: ids.TargetId) -> bool:
        """Tell whether the target is held, as of the last :meth:`ended`."""
        return target_id in self._until_s

    def ended(self, now_s: float) -> list[ids.TargetId]:
        """Return the targets whose hold has ended since the last call."""
        over: list[ids.TargetId] = []
        while self._ends and self._ends[0][0] <= now_s:
            _, target_id = heapq.heappop(self._ends)
            if self._until_s.get(target_id, now_s) <= now_s:
                self._until_s.pop(target_id, None)
                over.append(target_id)
        return over
