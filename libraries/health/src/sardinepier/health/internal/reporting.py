"""Reports to the group, evidence from its reports, and the status."""

from collections.abc import Iterable
from typing import Final

from sardinepier.core import ids
from sardinepier.health import evidence, peer_evidence, targets
from sardinepier.health import options as health_options
from sardinepier.health.internal import target_list, tracked_target

_States = targets.TargetState
_SCORE_DIGITS: Final = 3


class Reports:
    """Creates this daemon's reports, numbered from 1."""

    def __init__(
        self,
        listed: target_list.TargetList,
        options: health_options.HealthOptions,
    ) -> None:
        """Report on the targets of ``listed``."""
        self.options = options
        self._listed = listed
        self._sequence = 0
        self._due_s = 0.0
        self._urgent_due_s = 0.0

    def is_due(self, now_s: float) -> bool:
        """Return whether the next report is due."""
        if now_s >= self._due_s:
            return True
        if now_s < self._urgent_due_s:
            return False
        return any(
            target.suspicion.since_s is not None for target in self._listed
        )

    def make(self, now_s: float, is_degraded: bool) -> evidence.EvidenceReport:
        """Return the next report."""
        self._sequence += 1
        self._due_s = now_s + self.options.report_interval_s
        self._urgent_due_s = now_s + self.options.urgent_report_interval_s
        return evidence.EvidenceReport(
            sequence=self._sequence,
            doubts_itself=is_degraded,
            evidence=tuple(_row(target) for target in self._listed),
            ejections=tuple(_ejections(self._listed, now_s)),
            leaving=self._listed.leaving_notices(),
        )


def _row(target: tracked_target.TrackedTarget) -> evidence.TargetEvidence:
    return evidence.TargetEvidence(
        target_id=target.target_id,
        incarnation=target.identity.incarnation,
        scores=tuple(
            round(score, _SCORE_DIGITS) for score in target.tally.scores
        ),
        good=target.tally.good,
        attempts=target.tally.attempts,
        overdue=round(target.suspicion.overdue, _SCORE_DIGITS),
        overdue_ms=round(target.suspicion.overdue_ms),
        in_flight=len(target.in_flight_attempts)
        - target.suspicion.overdue_count,
    )


def _ejections(
    listed: Iterable[tracked_target.TrackedTarget],
    now_s: float,
) -> Iterable[evidence.EjectionNotice]:
    for target in listed:
        if target.reason is targets.Reason.GROUP_EVIDENCE:
            yield evidence.EjectionNotice(
                target.identity.target_id,
                target.identity.incarnation,
                max(0.0, target.readmission_state.deadline_s - now_s),
                round(target.ejected_score, _SCORE_DIGITS),
            )


def add_increment(
    target: tracked_target.TrackedTarget,
    increment: peer_evidence.Increment,
    now_s: float,
) -> None:
    """Add a peer's increment to the evidence for the next tick."""
    pending = target.suspicion.pending
    previous = pending.get(increment.observer)
    if previous is None:
        pending[increment.observer] = list(increment.ratios)
    else:
        pending[increment.observer] = [
            pending_ratio + ratio
            for pending_ratio, ratio in zip(
                previous, increment.ratios, strict=False
            )
        ]
    count_vote(
        target, increment.observer, increment.attempts, increment.good, now_s
    )


def count_vote(
    target: tracked_target.TrackedTarget,
    observer: ids.InstanceId,
    attempts: int,
    good: int,
    now_s: float,
) -> None:
    """Count an observer's attempts while the target is suspected.

    The first report partly covers the time before the suspicion, so counting
    starts with the second one.
    """
    if good:
        target.suspicion.recent_good.append((now_s, good))
    if target.suspicion.voting_since_s is None:
        return
    votes = target.suspicion.votes.setdefault(observer, tracked_target.Votes())
    votes.reports += 1
    if votes.reports > 1:
        votes.attempts += attempts
        votes.bad += attempts - good


def status(
    target: tracked_target.TrackedTarget,
    weight: float,
    now_s: float,
) -> targets.TargetStatus:
    """Return the target's status for operators."""
    returns_in_s = None
    if target.state is _States.EJECTED:
        returns_in_s = max(0.0, target.readmission_state.deadline_s - now_s)
    return targets.TargetStatus(
        target_id=target.target_id,
        incarnation=target.identity.incarnation,
        state=target.state,
        reason=target.reason,
        weight=weight,
        score=target.suspicion.score(),
        in_flight=len(target.in_flight_attempts),
        returns_in_s=returns_in_s,
    )
