"""What the group's other daemons have in flight, as far as it is known."""

import dataclasses
from collections.abc import Collection, Mapping
from typing import Final

from sardinepier.core import ids

_FADE_STEP_S: Final = 0.05
"""Fading is worked out anew at most this often."""

_NOTHING: Final = 1e-6

_NEVER_S: Final = float('-inf')


@dataclasses.dataclass(slots=True)
class _Report:
    """A peer's last counts, when they came, and how far they are believed."""

    counts: Mapping[ids.TargetId, int]
    heard_s: float
    belief: float


class PeerCounts:
    """Sums of the peers' reports, each fading with its age.

    A report's belief is 1 while it is fresh and falls to 0 until it is
    stale. The disbelieved part of each peer counts as its equal share.
    """

    def __init__(self, fresh_s: float, stale_s: float) -> None:
        """Start without peers."""
        self.total = 0.0
        self._fresh_s = fresh_s
        self._stale_s = stale_s
        self._reports: dict[ids.InstanceId, _Report] = {}
        self._sums: dict[ids.TargetId, float] = {}
        self._changed: set[ids.TargetId] = set()
        self._next_fade_s = 0.0

    def set_group(self, others: Collection[ids.InstanceId]) -> None:
        """Keep the reports of ``others`` only, and expect theirs."""
        for gone in tuple(self._reports.keys() - set(others)):
            self._believe(self._reports.pop(gone), 0)
        for observer in others:
            self._reports.setdefault(observer, _Report({}, _NEVER_S, 0))

    def heard(
        self,
        observer: ids.InstanceId,
        counts: Mapping[ids.TargetId, int],
        now_s: float,
    ) -> None:
        """Replace the peer's report; one from outside the group is ignored."""
        known = self._reports.get(observer)
        if known is None:
            return
        self._believe(known, 0)
        known.counts = dict(counts)
        known.heard_s = now_s
        self._believe(known, 1)

    def count(self, target_id: ids.TargetId) -> float:
        """Return what all peers have in flight at the target."""
        return self._sums.get(target_id, 0)

    def shares(self) -> float:
        """Return the part of all slots which silent peers are to be left."""
        silent = sum(1 - report.belief for report in self._reports.values())
        return silent / (len(self._reports) + 1)

    def changed(self) -> set[ids.TargetId]:
        """Return the targets whose count changed since the last call."""
        changed = self._changed
        self._changed = set()
        return changed

    def fade(self, now_s: float) -> bool:
        """Believe old reports less. Tell whether that changed anything."""
        if now_s < self._next_fade_s:
            return False
        self._next_fade_s = now_s + _FADE_STEP_S
        for report in self._reports.values():
            self._believe(report, self._belief(now_s - report.heard_s))
        return bool(self._changed)

    def _belief(self, age_s: float) -> float:
        if age_s <= self._fresh_s:
            return 1
        left_s = self._stale_s - age_s
        return max(0, left_s / (self._stale_s - self._fresh_s))

    def _believe(self, report: _Report, belief: float) -> None:
        difference = belief - report.belief
        if not difference:
            return
        report.belief = belief
        for target_id, count in report.counts.items():
            self._add(target_id, difference * count)

    def _add(self, target_id: ids.TargetId, difference: float) -> None:
        self.total += difference
        self._sums[target_id] = self._sums.get(target_id, 0) + difference
        self._changed.add(target_id)
        if abs(self._sums[target_id]) < _NOTHING:
            self._sums.pop(target_id)
