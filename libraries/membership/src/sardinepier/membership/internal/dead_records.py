"""Records of dead members, kept so that outdated updates do not revive them."""

from collections.abc import Iterator

from sardinepier.core import ids
from sardinepier.membership.internal import record


class DeadRecords:
    """Records of dead members, oldest first, limited in time and number."""

    def __init__(self, keep_s: float, max_dead: int) -> None:
        """Keep at most ``max_dead`` records, each for ``keep_s`` seconds."""
        self._keep_s = keep_s
        self._max_dead = max_dead
        self._records: dict[ids.InstanceId, tuple[record.Record, float]] = {}

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records)

    def __iter__(self) -> Iterator[record.Record]:
        """Iterate over the records, oldest first."""
        return (dead_record for dead_record, _ in self._records.values())

    def get(self, instance_id: ids.InstanceId) -> record.Record | None:
        """Return the record of the instance, or None if there is none."""
        found = self._records.get(instance_id)
        return found[0] if found else None

    def put(self, dead_record: record.Record, now_s: float) -> None:
        """Store a record; storing it again does not extend its deadline."""
        known = self._records.get(dead_record.instance_id)
        deadline_s = known[1] if known else now_s + self._keep_s
        self._records[dead_record.instance_id] = (dead_record, deadline_s)
        if len(self._records) > self._max_dead:
            self._records.pop(next(iter(self._records)))

    def discard(self, instance_id: ids.InstanceId) -> None:
        """Remove the record of the instance, if there is one."""
        self._records.pop(instance_id, None)

    def expire(self, now_s: float) -> None:
        """Remove the records whose deadline has passed."""
        for instance_id, (_, deadline_s) in tuple(self._records.items()):
            if deadline_s > now_s:
                return
            self._records.pop(instance_id)

    def clear(self) -> None:
        """Remove all records."""
        self._records.clear()
