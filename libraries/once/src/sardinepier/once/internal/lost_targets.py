"""Targets that lost a connection, of services that have not answered since."""

import collections
from collections.abc import Collection

from sardinepier.core import ids


class LostTargets:
    """Recently lost targets by service, each with the expiry of its latest loss.

    A good answer of any target ends the losses of its service: they were no
    outage. A target that restarted has another id, and would never answer by
    its old one. Beyond ``capacity`` targets, the one with the oldest loss is
    dropped.
    """

    def __init__(self, capacity: int) -> None:
        """Start without lost targets."""
        self._capacity = capacity
        self._until_s: dict[ids.TargetId, float] = {}
        self._by_service: dict[ids.ServiceName, set[ids.TargetId]] = (
            collections.defaultdict(set)
        )

    def record(
        self,
        service: ids.ServiceName,
        target_id: ids.TargetId,
        until_s: float,
    ) -> None:
        """Record the loss of a target, which expires at ``until_s``."""
        self._until_s.pop(target_id, None)
        self._until_s[target_id] = until_s
        self._by_service[service].add(target_id)
        if len(self._until_s) > self._capacity:
            oldest = next(iter(self._until_s))
            del self._until_s[oldest]
            for targets in self._by_service.values():
                targets.discard(oldest)

    def answered(self, service: ids.ServiceName) -> None:
        """Drop the losses of a service, one of whose targets has answered."""
        for target_id in self._by_service.pop(service, ()):
            self._until_s.pop(target_id, None)

    def count_beside(
        self,
        marked: Collection[ids.TargetId],
        explained: Collection[ids.TargetId],
        now_s: float,
    ) -> int:
        """Return the number of lost targets in the services of ``marked`` ones.

        Those in ``explained`` are not counted.
        """
        return sum(
            self._until_s[target_id] > now_s and target_id not in explained
            for targets in self._by_service.values()
            if not targets.isdisjoint(marked)
            for target_id in targets
        )
