"""Back-off of a daemon from targets that shed its requests."""

import heapq
import random
from typing import Final

from sardinepier.core import ids

_GROWTH: Final = 2


class BackOff:
    """Targets that get no requests until a stored local time."""

    def __init__(
        self,
        random_source: random.Random,
        first_s: float,
        limit_s: float,
    ) -> None:
        """Back off for about ``first_s``, doubled each time up to ``limit_s``."""
        self._random = random_source
        self._first_s = first_s
        self._limit_s = limit_s
        self._until_s: dict[ids.TargetId, float] = {}
        self._next_s: dict[ids.TargetId, float] = {}
        self._ends: list[tuple[float, ids.TargetId]] = []

    def start(self, target_id: ids.TargetId, now_s: float) -> None:
        """Start a back-off, longer with each consecutive shed reply.

        Its length is drawn between half and one and a half times the mean, so
        that daemons whose requests were shed together don't retry together.
        """
        mean_s = self._next_s.get(target_id, self._first_s)
        until_s = now_s + mean_s * (0.5 + self._random.random())
        self._until_s[target_id] = until_s
        self._next_s[target_id] = min(self._limit_s, mean_s * _GROWTH)
        heapq.heappush(self._ends, (until_s, target_id))

    def clear(self, target_id: ids.TargetId) -> None:
        """Reset the length of the next back-off; a running one continues."""
        self._next_s.pop(target_id, None)

    def is_active(self, target_id: ids.TargetId) -> bool:
        """Return whether a back-off was running at the last :meth:`ended`."""
        return target_id in self._until_s

    def ended(self, now_s: float) -> list[ids.TargetId]:
        """Return the targets whose back-off has ended since the last call."""
        ended: list[ids.TargetId] = []
        while self._ends and self._ends[0][0] <= now_s:
            _, target_id = heapq.heappop(self._ends)
            if self._until_s.get(target_id, now_s) <= now_s:
                self._until_s.pop(target_id, None)
                ended.append(target_id)
        return ended
