"""The targets with a free slot, as a list that is cheap to change."""

from sardinepier.core import ids
from sardinepier.routing import choice


class FreeList:
    """A list without order; each change costs the same at any length."""

    def __init__(self) -> None:
        """Start empty."""
        self.members: list[choice.Candidate] = []
        self._places: dict[ids.TargetId, int] = {}

    def add(self, record: choice.Candidate) -> None:
        """Put a target in, unless it is in already."""
        if record.target_id not in self._places:
            self._places[record.target_id] = len(self.members)
            self.members.append(record)

    def discard(self, target_id: ids.TargetId) -> None:
        """Take a target out, if it is in: the last one takes its place."""
        place = self._places.pop(target_id, None)
        if place is None:
            return
        last = self.members.pop()
        if last.target_id != target_id:
            self.members[place] = last
            self._places[last.target_id] = place
