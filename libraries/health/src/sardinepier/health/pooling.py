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
class HeardEjection:
    """A peer's ejection with its deadline on the local clock."""

    incarnation: ids.TargetIncarnation
    deadline_s: float
    score: float


@dataclasses.dataclass(slots=True)
class Peer:
    """The newest facts of one observer instance."""

    sequence: int
    heard_s: float
    doubts_itself: bool
    rows: dict[ids.TargetId, evidence.TargetEvidence]
    ejections: dict[ids.TargetId, HeardEjection]


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
        self._peers: dict[ids.InstanceId, Peer] = {}

    def take(
        self,
        observer: ids.InstanceId,
        report: evidence.EvidenceReport,
    ) -> list[Increment]:
        """Merge a report; return what is new in it, nothing for an old one.

        The first report of an observer only sets the mark from which its
        later ones count: what it saw before this daemon listened is past.
        """
        known = self._peers.get(observer)
        if known is not None and report.sequence <= known.sequence:
            return []
        if observer == self._own or not self._has_room(known):
            return []
        self._peers[observer] = self._peer_of(report)
        if known is None:
            return []
        return list(_increments(observer, known.rows, report))

    def forget(self, observer: ids.InstanceId) -> None:
        """Drop an observer that left the group or died."""
        self._peers.pop(observer, None)

    def live(self) -> dict[ids.InstanceId, Peer]:
        """Return the observers heard lately; forget the long silent ones."""
        now_s = self._clock.monotonic_s()
        expiry_s = self.options.peer_expiry_s
        live = {
            observer: peer
            for observer, peer in self._peers.items()
            if now_s - peer.heard_s <= expiry_s
        }
        self._peers = {
            observer: peer
            for observer, peer in self._peers.items()
            if now_s - peer.heard_s <= expiry_s * _MEMORY_FACTOR
        }
        return live

    def _has_room(self, known: Peer | None) -> bool:
        if known is not None:
            return True
        return len(self._peers) < self.options.observers_limit

    def _peer_of(self, report: evidence.EvidenceReport) -> Peer:
        now_s = self._clock.monotonic_s()
        longest_s = 2 * self.options.ejection_limit_s
        return Peer(
            sequence=report.sequence,
            heard_s=now_s,
            doubts_itself=report.doubts_itself,
            rows={row.target_id: row for row in report.evidence},
            ejections={
                notice.target_id: HeardEjection(
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
