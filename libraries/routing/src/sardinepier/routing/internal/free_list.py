"""An unordered list of the targets with a free slot."""

from sardinepier.core import ids
from sardinepier.routing import choice


class FreeList:
    """An unordered list; its changes take constant time."""

    def __init__(self) -> None:
        """Start empty."""
        self.members: list[choice.Candidate] = []
        self._positions: dict[ids.TargetId, int] = {}

    def add(self, record: choice.Candidate) -> None:
        """Add a target unless it is in the list."""
        if record.target_id not in self._positions:
            self._positions[record.target_id] = len(self.members)
            self.members.append(record)

    def discard(self, target_id: ids.TargetId) -> None:
        """Remove a target if it is in the list; the last one takes its place."""
        position = self._positions.pop(target_id, None)
        if position is None:
            return
        last = self.members.pop()
        if last.target_id != target_id:
            self.members[position] = last
            self._positions[last.target_id] = position
