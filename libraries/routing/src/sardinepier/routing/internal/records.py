"""The records of a service's targets and the lists of free ones."""

from collections.abc import Iterable, Iterator

from sardinepier.core import ids
from sardinepier.routing import choice
from sardinepier.routing.internal import free_list


class Records:
    """One record for each target, kept until its last request has ended."""

    def __init__(self) -> None:
        """Start without targets."""
        self.with_home_slot = free_list.FreeList()
        self.with_shared_slot = free_list.FreeList()
        self._records: dict[ids.TargetId, choice.Candidate] = {}
        self._listed: frozenset[ids.TargetId] = frozenset()

    def __iter__(self) -> Iterator[choice.Candidate]:
        """Return all records, including those of removed targets in use."""
        return iter(tuple(self._records.values()))

    def find(self, target_id: ids.TargetId) -> choice.Candidate | None:
        """Return the record of a target, ``None`` if there is none."""
        return self._records.get(target_id)

    def replace(self, targets: Iterable[choice.Candidate]) -> None:
        """Replace the targets; known ones keep their counts and weights."""
        by_id = {target.target_id: target for target in targets}
        self._listed = frozenset(by_id)
        for known in self:
            self.drop_if_removed(known)
        for target_id, newer in by_id.items():
            record = self._records.setdefault(target_id, newer)
            record.zone = newer.zone
            record.slots = newer.slots

    def set_weight(self, record: choice.Candidate, weight: float) -> bool:
        """Set the weight; a removed target keeps weight 0.

        Returns whether the set of targets in service has changed.
        """
        before = record.weight
        if record.target_id in self._listed:
            record.weight = weight
        return bool(before) != bool(record.weight)

    def drop_if_removed(self, record: choice.Candidate) -> None:
        """Take a removed target out of service; drop it when it is unused."""
        if record.target_id in self._listed:
            return
        record.weight = 0
        self.hide(record.target_id)
        if not record.in_flight:
            self._records.pop(record.target_id)

    def in_service(self) -> list[choice.Candidate]:
        """Return the records of the targets with a weight above 0."""
        return [record for record in self if record.weight]

    def show(self, record: choice.Candidate) -> None:
        """Put a record into the lists of free targets where it belongs."""
        self.hide(record.target_id)
        if record.has_home_slot():
            self.with_home_slot.add(record)
        if record.has_shared_slot():
            self.with_shared_slot.add(record)

    def hide(self, target_id: ids.TargetId) -> None:
        """Remove a target from the lists of free targets."""
        self.with_home_slot.discard(target_id)
        self.with_shared_slot.discard(target_id)
