"""The live records of a service's targets and which of them are free."""

from collections.abc import Iterable, Iterator

from sardinepier.core import ids
from sardinepier.routing import choice
from sardinepier.routing.internal import free_list


class Records:
    """One record a target, kept until its last request has ended."""

    def __init__(self) -> None:
        """Start without targets."""
        self.free = free_list.FreeList()
        self.slots_total = 0
        self._records: dict[ids.TargetId, choice.Candidate] = {}
        self._listed: frozenset[ids.TargetId] = frozenset()

    def __iter__(self) -> Iterator[choice.Candidate]:
        """Return all records, also of targets that are gone but in use."""
        return iter(tuple(self._records.values()))

    def find(self, target_id: ids.TargetId) -> choice.Candidate | None:
        """Return the record of a target, ``None`` if there is none."""
        return self._records.get(target_id)

    def replace(self, wanted: Iterable[choice.Candidate]) -> None:
        """Keep exactly the wanted targets; known ones keep their counts."""
        by_id = {record.target_id: record for record in wanted}
        self._listed = frozenset(by_id)
        for known in self:
            self.drop_if_gone(known)
        for target_id, newer in by_id.items():
            record = self._records.setdefault(target_id, newer)
            record.zone = newer.zone
            record.slots = newer.slots
        self.slots_total = sum(
            record.slots for record in self._records.values() if record.weight
        )

    def set_weight(self, record: choice.Candidate, weight: float) -> None:
        """Set the weight, which stays 0 for a target that is gone."""
        if record.target_id not in self._listed:
            return
        self.slots_total -= record.slots if record.weight else 0
        record.weight = weight
        self.slots_total += record.slots if record.weight else 0

    def drop_if_gone(self, record: choice.Candidate) -> None:
        """Give no new work to a target that is gone; drop it when unused."""
        if record.target_id in self._listed:
            return
        record.weight = 0
        self.free.discard(record.target_id)
        if not record.in_flight:
            self._records.pop(record.target_id)
