"""Evidence of the group: what each peer said last, merged by maximum.

Of each observer instance only the report with the highest sequence counts,
so repeated, lost and reordered reports leave the same state behind. What a
newer report adds to the one before it is handed on as increments.
"""

import dataclasses
from collections.abc import Iterator
from typing import Final

from sardinepier.core import clock as core_clock
from sardinepier.core import ids
from sardinepier.health import evidence
from sardinepier.health import options as health_options

_MEMORY_FACTOR: Final = 12
"""A silent observer's last sequence is remembered for so many expiries."""


@dataclasses.dataclass(frozen=True, slots=True)
class Increment:
    """What one observer learned about one target between two reports."""

    observer: ids.InstanceId
    target_id: ids.TargetId
    incarnation: ids.TargetIncarnation
    ratios: tuple[float, ...]
    good: int
    attempts: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerEjection:
    """A peer's ejection with its deadline on the local clock."""

    incarnation: ids.TargetIncarnation
    deadline_s: float
    score: float


@dataclasses.dataclass(slots=True)
class Peer:
    """The newest facts of one observer instance."""

    sequence: int
    received_s: float
    doubts_itself: bool
    rows: dict[ids.TargetId, evidence.TargetEvidence]
    ejections: dict[ids.TargetId, PeerEjection]
    overdue: frozenset[ids.TargetId]
    """Targets with requests overdue, none while it doubts itself."""


class PeerEvidence:
    """The newest report of every observer heard, in bounded number."""

    def __init__(
        self,
        own: ids.InstanceId,
        options: health_options.HealthOptions,
        clock: core_clock.Clock,
    ) -> None:
        """Know nobody yet; reports in the own name are not taken."""
        self._own = own
        self.options = options
        self._clock = clock
        self.in_flight: dict[ids.TargetId, int] = {}
        """Requests in flight of all observers heard, for each target."""
        self._peers: dict[ids.InstanceId, Peer] = {}

    def take(
        self,
        observer: ids.InstanceId,
        report: evidence.EvidenceReport,
    ) -> dict[ids.TargetId, Increment] | None:
        """Merge a report; return what is new in it, None for an old one.

        The first report of an observer only sets the mark from which its
        later ones count: what it saw before this daemon listened is past.
        """
        known = self._peers.get(observer)
        if known is not None and report.sequence <= known.sequence:
            return None
        if observer == self._own or not self._has_room(known):
            return None
        peer = self._peer_of(report)
        self._peers[observer] = peer
        self._count_in_flight(peer, 1)
        if known is None:
            return {}
        self._count_in_flight(known, -1)
        return {
            increment.target_id: increment
            for increment in _increments(observer, known.rows, report)
        }

    def forget(self, observer: ids.InstanceId) -> None:
        """Drop an observer that left the group or died."""
        peer = self._peers.pop(observer, None)
        if peer is not None:
            self._count_in_flight(peer, -1)

    def live(self) -> dict[ids.InstanceId, Peer]:
        """Return the observers heard lately; forget the long silent ones."""
        now_s = self._clock.monotonic_s()
        expiry_s = self.options.peer_expiry_s
        live = {}
        for observer, peer in tuple(self._peers.items()):
            silent_s = now_s - peer.received_s
            if silent_s <= expiry_s:
                live[observer] = peer
            elif silent_s > expiry_s * _MEMORY_FACTOR:
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

    def _has_room(self, known: Peer | None) -> bool:
        if known is not None:
            return True
        return len(self._peers) < self.options.observers_limit

    def _peer_of(self, report: evidence.EvidenceReport) -> Peer:
        now_s = self._clock.monotonic_s()
        longest_s = 2 * self.options.ejection_limit_s
        return Peer(
            sequence=report.sequence,
            received_s=now_s,
            doubts_itself=report.doubts_itself,
            rows={row.target_id: row for row in report.evidence},
            overdue=frozenset(
                row.target_id
                for row in report.evidence
                if row.overdue and not report.doubts_itself
            ),
            ejections={
                notice.target_id: PeerEjection(
                    notice.incarnation,
                    now_s + min(longest_s, notice.remaining_s),
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
        earlier = before.get(row.target_id)
        if earlier is None or earlier.incarnation != row.incarnation:
            continue
        if row.attempts <= earlier.attempts:
            continue
        yield Increment(
            observer=observer,
            target_id=row.target_id,
            incarnation=row.incarnation,
            ratios=_added(earlier.scores, row.scores, report.doubts_itself),
            good=row.good - earlier.good,
            attempts=row.attempts - earlier.attempts,
        )


def _added(
    before: tuple[float, ...],
    after: tuple[float, ...],
    doubts_itself: bool,
) -> tuple[float, ...]:
    added = (
        later - earlier for earlier, later in zip(before, after, strict=False)
    )
    if doubts_itself:
        return tuple(min(0.0, ratio) for ratio in added)
    return tuple(added)
