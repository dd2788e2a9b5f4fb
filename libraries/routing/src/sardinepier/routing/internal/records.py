"""The live records of a service's targets and which of them are free."""

from collections.abc import Iterable, Iterator

from sardinepier.core import ids
from sardinepier.routing import choice
from sardinepier.routing.internal import free_list


class Records:
    """One record a target, kept until its last request has ended."""

    def __init__(self) -> None:
        """Start without targets."""
        self.with_home_slot = free_list.FreeList()
        self.with_shared_slot = free_list.FreeList()
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

    def set_weight(self, record: choice.Candidate, weight: float) -> bool:
        """Set the weight; it stays 0 for a target that is gone.

        Returns whether that changed which targets are in service.
        """
        before = record.weight
        if record.target_id in self._listed:
            record.weight = weight
        return bool(before) != bool(record.weight)

    def drop_if_gone(self, record: choice.Candidate) -> None:
        """Give no new work to a target that is gone; drop it when unused."""
        if record.target_id in self._listed:
            return
        record.weight = 0
        self.hide(record.target_id)
        if not record.in_flight:
            self._records.pop(record.target_id)

    def in_service(self) -> list[choice.Candidate]:
        """Return the records of the targets that may get work."""
        return [one for one in self if one.weight]

    def show(self, record: choice.Candidate) -> None:
        """Put a record in the lists of free ones where it belongs."""
        self.hide(record.target_id)
        if record.has_home_slot():
            self.with_home_slot.add(record)
        if record.has_shared_slot():
            self.with_shared_slot.add(record)

    def hide(self, target_id: ids.TargetId) -> None:
        """Take a target out of the lists of free ones."""
        self.with_home_slot.discard(target_id)
        self.with_shared_slot.discard(target_id)
