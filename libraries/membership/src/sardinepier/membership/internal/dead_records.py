"""The dead, remembered for a while so that old news finds them dead."""

from collections.abc import Iterator

from sardinepier.core import ids
from sardinepier.membership.internal import record


class DeadRecords:
    """Dead records, the longest dead first, bounded in time and number."""

    def __init__(self, keep_s: float, max_dead: int) -> None:
        """Keep at most ``max_dead``, each for ``keep_s`` seconds."""
        self._keep_s = keep_s
        self._max_dead = max_dead
        self._records: dict[ids.InstanceId, tuple[record.Record, float]] = {}

    def __len__(self) -> int:
        """Return how many are remembered."""
        return len(self._records)

    def __iter__(self) -> Iterator[record.Record]:
        """Return the records."""
        return (held for held, _ in self._records.values())

    def get(self, instance_id: ids.InstanceId) -> record.Record | None:
        """Return the record of that name, if it is remembered."""
        found = self._records.get(instance_id)
        return found[0] if found else None

    def put(self, held: record.Record, now_s: float) -> None:
        """Remember a record; a repeat does not prolong it."""
        known = self._records.get(held.instance_id)
        deadline_s = known[1] if known else now_s + self._keep_s
        self._records[held.instance_id] = (held, deadline_s)
        if len(self._records) > self._max_dead:
            self._records.pop(next(iter(self._records)))

    def discard(self, instance_id: ids.InstanceId) -> None:
        """Forget one record, if it is remembered."""
        self._records.pop(instance_id, None)

    def expire(self, now_s: float) -> None:
        """Forget those whose deadline has passed."""
        for instance_id, (_, deadline_s) in tuple(self._records.items()):
            if deadline_s > now_s:
                return
            self._records.pop(instance_id)

    def clear(self) -> None:
        """Forget all."""
        self._records.clear()
