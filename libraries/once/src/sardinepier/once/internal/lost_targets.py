"""Targets that lost a connection, of services that have not answered since."""

import collections
from collections.abc import Collection
from typing import Final

from sardinepier.core import ids


_MAX_QUARANTINES: Final = 3
"""Quarantines of a service without an answer of it between them that are no sign
of an outage."""


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
        self._quarantines: collections.Counter[ids.ServiceName] = (
            collections.Counter()
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

    def record_quarantine(self, service: ids.ServiceName) -> None:
        """Record that a request was quarantined, which accounts for losses."""
        self._quarantines[service] += 1

    def answered(self, service: ids.ServiceName) -> None:
        """Drop the losses of a service, one of whose targets has answered."""
        self._quarantines.pop(service, None)
        for target_id in self._by_service.pop(service, ()):
            self._until_s.pop(target_id, None)

    def count_except(
        self,
        service: ids.ServiceName,
        excluded: Collection[ids.TargetId],
        now_s: float,
    ) -> int:
        """Return the number of a service's lost targets not in ``excluded``.

        In an outage requests are lost on two targets each, one after another.
        Their quarantines would account for all losses, so that each one beyond
        a few counts as a loss.
        """
        further = max(0, self._quarantines[service] - _MAX_QUARANTINES)
        return further + sum(
            self._until_s[target_id] > now_s and target_id not in excluded
            for target_id in self._by_service.get(service, ())
        )
