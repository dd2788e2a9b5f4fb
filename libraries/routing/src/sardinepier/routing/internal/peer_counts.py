"""The requests that the other daemons of the group have in flight."""

import dataclasses
from collections.abc import Collection, Mapping
from typing import Final

from sardinepier.core import ids
from sardinepier.routing.internal import home_slots

_MIN_UPDATE_INTERVAL_S: Final = 0.05
"""Minimum interval between updates of the weights of reports."""

_ROUNDING: Final = 1e-6
_NEVER_S: Final = float('-inf')

_Counts = Mapping[ids.TargetId, int]


@dataclasses.dataclass(slots=True)
class _Peer:
    """A peer's last counts, their weight, and its home slots."""

    homes: _Counts
    counts: _Counts
    received_s: float
    weight: float


class PeerCounts:
    """Sums of the peers' reports, each weighted by its age.

    The weight of a report is 1 while it is fresh and falls linearly to 0 until
    it is stale. The peer's home slots count with the remaining weight, as if
    it used all of them.
    """

    def __init__(self, fresh_s: float, stale_s: float) -> None:
        """Start without peers."""
        self._fresh_s = fresh_s
        self._stale_s = stale_s
        self._peers: dict[ids.InstanceId, _Peer] = {}
        self._sums: dict[ids.TargetId, float] = {}
        # A dictionary instead of a set, whose order differs between processes:
        # the same seed has to give the same choices.
        self._changed: dict[ids.TargetId, None] = {}
        self._next_update_s = 0.0

    @property
    def names(self) -> Collection[ids.InstanceId]:
        """Return the names of the peers."""
        return self._peers.keys()

    def set_homes(
        self,
        names: Collection[ids.InstanceId],
        homes: home_slots.Homes,
    ) -> None:
        """Replace the peers and their home slots; known ones keep reports."""
        for known in tuple(self._peers):
            if known not in names:
                self._count(self._peers.pop(known), -1)
        for name in sorted(names):
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
        """Replace the peer's report; ignore daemons outside the group."""
        peer = self._peers.get(observer)
        if peer is None:
            return
        self._count(peer, -1)
        peer.counts = dict(counts)
        peer.received_s = now_s
        peer.weight = 1
        self._count(peer, 1)

    def count(self, target_id: ids.TargetId) -> float:
        """Return the requests that all peers have in flight at the target."""
        return self._sums.get(target_id, 0)

    def changed(self) -> list[ids.TargetId]:
        """Return the targets whose count changed since the last call."""
        changed = list(self._changed)
        self._changed.clear()
        return changed

    def update_weights(self, now_s: float) -> bool:
        """Reduce the weights of aging reports; return whether a count changed."""
        if now_s < self._next_update_s:
            return False
        self._next_update_s = now_s + _MIN_UPDATE_INTERVAL_S
        for peer in self._peers.values():
            weight = self._weight(now_s - peer.received_s)
            if weight < peer.weight:
                self._count(peer, -1)
                peer.weight = weight
                self._count(peer, 1)
        return bool(self._changed)

    def _weight(self, age_s: float) -> float:
        if age_s <= self._fresh_s:
            return 1
        left_s = self._stale_s - age_s
        return max(0, left_s / (self._stale_s - self._fresh_s))

    def _count(self, peer: _Peer, sign: int) -> None:
        self._add_all(peer.counts, sign * peer.weight)
        self._add_all(peer.homes, sign * (1 - peer.weight))

    def _add_all(self, counts: _Counts, factor: float) -> None:
        if not factor:
            return
        for target_id, count in counts.items():
            total = self._sums.get(target_id, 0) + factor * count
            self._changed[target_id] = None
            self._sums[target_id] = total
            if abs(total) < _ROUNDING:
                self._sums.pop(target_id)
