"""What goes out to the group, what comes in from it, and the status."""

from collections.abc import Iterable
from typing import Final

from sardinepier.core import ids
from sardinepier.health import evidence, peer_evidence, targets
from sardinepier.health import options as health_options
from sardinepier.health.internal import target_list, tracked_target

_States = targets.TargetState
_SCORE_DIGITS: Final = 3


class Reports:
    """Makes this daemon's reports, numbered from 1 upwards."""

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
        """Return whether it is time for the next report."""
        if now_s >= self._due_s:
            return True
        if now_s < self._urgent_due_s:
            return False
        return any(one.suspicion.since_s is not None for one in self._listed)

    def make(self, now_s: float, doubts: bool) -> evidence.EvidenceReport:
        """Return the next report."""
        self._sequence += 1
        self._due_s = now_s + self.options.report_interval_s
        self._urgent_due_s = now_s + self.options.urgent_report_interval_s
        return evidence.EvidenceReport(
            sequence=self._sequence,
            doubts_itself=doubts,
            evidence=tuple(_row(one) for one in self._listed),
            ejections=tuple(_ejections(self._listed, now_s)),
            leaving=self._listed.leaving_notices(),
        )


def _row(one: tracked_target.TrackedTarget) -> evidence.TargetEvidence:
    return evidence.TargetEvidence(
        target_id=one.target_id,
        incarnation=one.identity.incarnation,
        scores=tuple(round(score, _SCORE_DIGITS) for score in one.tally.scores),
        good=one.tally.good,
        attempts=one.tally.attempts,
        overdue=round(one.suspicion.overdue, _SCORE_DIGITS),
        overdue_ms=round(one.suspicion.overdue_ms),
        in_flight=len(one.flights) - one.suspicion.overdue_count,
    )


def _ejections(
    listed: Iterable[tracked_target.TrackedTarget],
    now_s: float,
) -> Iterable[evidence.EjectionNotice]:
    for one in listed:
        if one.reason is targets.Reason.GROUP_EVIDENCE:
            yield evidence.EjectionNotice(
                one.identity.target_id,
                one.identity.incarnation,
                max(0.0, one.readmission_state.deadline_s - now_s),
                round(one.ejected_score, _SCORE_DIGITS),
            )


def absorb(
    one: tracked_target.TrackedTarget,
    increment: peer_evidence.Increment,
    now_s: float,
) -> None:
    """Add what a peer learned to what the next tick will judge."""
    pending = one.suspicion.pending
    known = pending.get(increment.observer)
    if known is None:
        pending[increment.observer] = list(increment.ratios)
    else:
        pending[increment.observer] = [
            earlier + ratio
            for earlier, ratio in zip(known, increment.ratios, strict=False)
        ]
    vote(one, increment.observer, increment.attempts, increment.good, now_s)


def vote(
    one: tracked_target.TrackedTarget,
    observer: ids.InstanceId,
    attempts: int,
    good: int,
    now_s: float,
) -> None:
    """Count an observer's attempts while there is suspicion.

    What its first report says was partly seen before suspicion arose, so
    counting starts with the second.
    """
    if good:
        one.suspicion.recent_good.append((now_s, good))
    if one.suspicion.voting_since_s is None:
        return
    votes = one.suspicion.votes.setdefault(observer, tracked_target.Votes())
    votes.reports += 1
    if votes.reports > 1:
        votes.attempts += attempts
        votes.bad += attempts - good


def status(
    one: tracked_target.TrackedTarget,
    weight: float,
    now_s: float,
) -> targets.TargetStatus:
    """Return the target's line for operators."""
    returns_in_s = None
    if one.state is _States.EJECTED:
        returns_in_s = max(0.0, one.readmission_state.deadline_s - now_s)
    return targets.TargetStatus(
        target_id=one.target_id,
        incarnation=one.identity.incarnation,
        state=one.state,
        reason=one.reason,
        weight=weight,
        score=one.suspicion.score(),
        in_flight=len(one.flights),
        returns_in_s=returns_in_s,
    )
