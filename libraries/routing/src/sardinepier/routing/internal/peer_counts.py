"""What the group's other daemons have in flight, as far as it is known."""

import dataclasses
from collections.abc import Collection, Mapping
from typing import Final

from sardinepier.core import ids
from sardinepier.routing.internal import home_slots

_FADE_STEP_S: Final = 0.05
"""Fading is worked out anew at most this often."""

_NOTHING: Final = 1e-6
_NEVER_S: Final = float('-inf')

_Counts = Mapping[ids.TargetId, int]


@dataclasses.dataclass(slots=True)
class _Peer:
    """A peer's last counts, its home slots, and how far it is believed."""

    homes: _Counts
    counts: _Counts
    received_s: float
    belief: float


class PeerCounts:
    """Sums of the peers' reports, each fading with its age.

    A report's belief is 1 while it is fresh and falls to 0 until it is
    stale. As far as a peer is not believed, it counts as using its home
    slots.
    """

    def __init__(self, fresh_s: float, stale_s: float) -> None:
        """Start without peers."""
        self._fresh_s = fresh_s
        self._stale_s = stale_s
        self._peers: dict[ids.InstanceId, _Peer] = {}
        self._sums: dict[ids.TargetId, float] = {}
        # A dictionary keeps its order, unlike a set, whose order changes with
        # each process: the same seed has to give the same choices.
        self._changed: dict[ids.TargetId, None] = {}
        self._next_fade_s = 0.0

    @property
    def names(self) -> Collection[ids.InstanceId]:
        """Return the daemons whose reports count."""
        return self._peers.keys()

    def set_homes(
        self,
        others: Collection[ids.InstanceId],
        homes: home_slots.Homes,
    ) -> None:
        """Keep the reports of ``others`` only, and take their home slots."""
        for known in tuple(self._peers):
            if known not in others:
                self._count(self._peers.pop(known), -1)
        for name in sorted(others):
            peer = self._peers.setdefault(name, _Peer({}, {}, _NEVER_S, 0))
            self._count(peer, -1)
            peer.homes = homes.get(name, {})
            self._count(peer, 1)

    def receive_report(
        self,
        observer: ids.InstanceId,
        counts: _Counts,
        now_s: float,
    ) -> None:
        """Replace the peer's report; one from outside the group is ignored."""
        peer = self._peers.get(observer)
        if peer is None:
            return
        self._count(peer, -1)
        peer.counts = dict(counts)
        peer.received_s = now_s
        peer.belief = 1
        self._count(peer, 1)

    def count(self, target_id: ids.TargetId) -> float:
        """Return what all peers have in flight at the target."""
        return self._sums.get(target_id, 0)

    def changed(self) -> list[ids.TargetId]:
        """Return the targets whose count changed since the last call."""
        changed = list(self._changed)
        self._changed.clear()
        return changed

    def fade(self, now_s: float) -> bool:
        """Believe old reports less. Tell whether that changed anything."""
        if now_s < self._next_fade_s:
            return False
        self._next_fade_s = now_s + _FADE_STEP_S
        for peer in self._peers.values():
            belief = self._belief(now_s - peer.received_s)
            if belief < peer.belief:
                self._count(peer, -1)
                peer.belief = belief
                self._count(peer, 1)
        return bool(self._changed)

    def _belief(self, age_s: float) -> float:
        if age_s <= self._fresh_s:
            return 1
        left_s = self._stale_s - age_s
        return max(0, left_s / (self._stale_s - self._fresh_s))

    def _count(self, peer: _Peer, sign: int) -> None:
        self._add_all(peer.counts, sign * peer.belief)
        self._add_all(peer.homes, sign * (1 - peer.belief))

    def _add_all(self, counts: _Counts, factor: float) -> None:
        if not factor:
            return
        for target_id, count in counts.items():
            total = self._sums.get(target_id, 0) + factor * count
            self._changed[target_id] = None
            self._sums[target_id] = total
            if abs(total) < _NOTHING:
                self._sums.pop(target_id)
