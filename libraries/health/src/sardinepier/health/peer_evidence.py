"""Evidence of the group: the newest report of each peer.

Of each observer instance only the report with the highest sequence counts,
so repeated, lost and reordered reports lead to the same state. Differences
between a newer report and its predecessor are returned as increments.
"""

import dataclasses
from collections.abc import Iterator
from typing import Final

from sardinepier.core import clock as core_clock
from sardinepier.core import ids
from sardinepier.health import evidence
from sardinepier.health import options as health_options

_EXPIRIES_TO_FORGET: Final = 12
"""A silent observer's last sequence is kept for this many expiry times."""


@dataclasses.dataclass(frozen=True, slots=True)
class Increment:
    """One observer's new evidence about one target between two reports."""

    observer: ids.InstanceId
    target_id: ids.TargetId
    incarnation: ids.TargetIncarnation
    ratios: tuple[float, ...]
    good: int
    attempts: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerEjection:
    """A peer's ejection, with its deadline on the local clock."""

    incarnation: ids.TargetIncarnation
    deadline_s: float
    score: float


@dataclasses.dataclass(slots=True)
class Peer:
    """The newest report of one observer instance."""

    sequence: int
    received_s: float
    is_degraded: bool
    rows: dict[ids.TargetId, evidence.TargetEvidence]
    ejections: dict[ids.TargetId, PeerEjection]
    overdue: frozenset[ids.TargetId]
    """Targets with overdue requests; empty while the observer is degraded."""


class PeerEvidence:
    """The newest reports of a bounded number of observers."""

    def __init__(
        self,
        own: ids.InstanceId,
        options: health_options.HealthOptions,
        clock: core_clock.Clock,
    ) -> None:
        """Start without peers; reports of ``own`` itself are ignored."""
        self._own = own
        self.options = options
        self._clock = clock
        self.in_flight: dict[ids.TargetId, int] = {}
        """Requests in flight of all known observers, for each target."""
        self._peers: dict[ids.InstanceId, Peer] = {}

    def merge(
        self,
        observer: ids.InstanceId,
        report: evidence.EvidenceReport,
    ) -> dict[ids.TargetId, Increment] | None:
        """Merge a report; return its increments, or None if it is ignored.

        Old reports are ignored, and new observers beyond the limit. The
        first report of an observer is only the base for later increments:
        its evidence from before this daemon received reports does not count.
        """
        previous = self._peers.get(observer)
        if previous is not None and report.sequence <= previous.sequence:
            return None
        if observer == self._own or not self._has_capacity(previous):
            return None
        peer = self._peer_of(report)
        self._peers[observer] = peer
        self._count_in_flight(peer, 1)
        if previous is None:
            return {}
        self._count_in_flight(previous, -1)
        return {
            increment.target_id: increment
            for increment in _increments(observer, previous.rows, report)
        }

    def forget(self, observer: ids.InstanceId) -> None:
        """Drop an observer that left the group or died."""
        peer = self._peers.pop(observer, None)
        if peer is not None:
            self._count_in_flight(peer, -1)

    def live(self) -> dict[ids.InstanceId, Peer]:
        """Return the observers with recent reports; forget long silent ones."""
        now_s = self._clock.monotonic_s()
        expiry_s = self.options.peer_expiry_s
        live = {}
        for observer, peer in tuple(self._peers.items()):
            silent_s = now_s - peer.received_s
            if silent_s <= expiry_s:
                live[observer] = peer
            elif silent_s > expiry_s * _EXPIRIES_TO_FORGET:
                self.forget(observer)
        return live

    def _count_in_flight(self, peer: Peer, sign: int) -> None:
        counts = self.in_flight
        for row in peer.rows.values():
            if not row.in_flight:
                continue
            count = counts.get(row.target_id, 0) + sign * row.in_flight
            if count:
                counts[row.target_id] = count
            else:
                counts.pop(row.target_id, None)

    def _has_capacity(self, previous: Peer | None) -> bool:
        if previous is not None:
            return True
        return len(self._peers) < self.options.observers_limit

    def _peer_of(self, report: evidence.EvidenceReport) -> Peer:
        now_s = self._clock.monotonic_s()
        limit_s = 2 * self.options.ejection_limit_s
        return Peer(
            sequence=report.sequence,
            received_s=now_s,
            is_degraded=report.doubts_itself,
            rows={row.target_id: row for row in report.evidence},
            overdue=frozenset(
                row.target_id
                for row in report.evidence
                if row.overdue and not report.doubts_itself
            ),
            ejections={
                notice.target_id: PeerEjection(
                    notice.incarnation,
                    now_s + min(limit_s, notice.remaining_s),
                    notice.score,
                )
                for notice in report.ejections
            },
        )


def _increments(
    observer: ids.InstanceId,
    before: dict[ids.TargetId, evidence.TargetEvidence],
    report: evidence.EvidenceReport,
) -> Iterator[Increment]:
    for row in report.evidence:
        previous = before.get(row.target_id)
        if previous is None or previous.incarnation != row.incarnation:
            continue
        if row.attempts <= previous.attempts:
            continue
        yield Increment(
            observer=observer,
            target_id=row.target_id,
            incarnation=row.incarnation,
            ratios=_added(previous.scores, row.scores, report.doubts_itself),
            good=row.good - previous.good,
            attempts=row.attempts - previous.attempts,
        )


def _added(
    before: tuple[float, ...],
    after: tuple[float, ...],
    is_degraded: bool,
) -> tuple[float, ...]:
    added = (
        later - previous for previous, later in zip(before, after, strict=False)
    )
    if is_degraded:
        return tuple(min(0.0, ratio) for ratio in added)
    return tuple(added)
