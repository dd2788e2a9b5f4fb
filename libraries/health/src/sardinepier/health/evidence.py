"""Evidence: outcomes of attempts, their signals, and reports to peers.

Only the author of an :class:`EvidenceReport` changes the facts in it. Scores
and counts are cumulative over the life of the author's process, so a lost
report only causes delay, a repeated one has no effect, and an old one is
recognised by its sequence number.
"""

import enum
from typing import Final

import msgspec

from sardinepier.core import ids


class AttemptOutcome(enum.Enum):
    """How one attempt at a target ended, as seen by the gateway."""

    ANSWERED = 'answered'
    FAILED = 'failed'
    """The target answered with a failure, for example status 500."""

    WRONG = 'wrong'
    """The answer was truncated or broke the protocol."""

    TIMED_OUT = 'timed-out'
    CONNECT_FAILED = 'connect-failed'
    CONNECTION_LOST = 'connection-lost'
    SHED = 'shed'
    CANCELLED = 'cancelled'
    CRASH_SUSPECT = 'crash-suspect'
    """The connection broke on a request that broke connections before."""


class HealthSignal(enum.Enum):
    """What one finished or overdue attempt indicates about its target."""

    GOOD = 'good'
    SLOW = 'slow'
    FAILED = 'failed'
    WRONG = 'wrong'
    HUNG = 'hung'
    LOST_CONNECTION = 'lost-connection'


_FAILURES: Final = {
    AttemptOutcome.FAILED: HealthSignal.FAILED,
    AttemptOutcome.WRONG: HealthSignal.WRONG,
    AttemptOutcome.CONNECT_FAILED: HealthSignal.FAILED,
    AttemptOutcome.CONNECTION_LOST: HealthSignal.LOST_CONNECTION,
}


def signal_of(outcome: AttemptOutcome, slow: bool) -> HealthSignal | None:
    """Return the signal of an attempt, or None if it is no evidence.

    ``slow`` means that the attempt took far longer than its route takes at
    the other targets. A timeout is evidence only if it is slow: otherwise the
    request had too little time. Shed, cancelled and crash-suspect attempts
    are never evidence.
    """
    if outcome is AttemptOutcome.ANSWERED:
        return HealthSignal.SLOW if slow else HealthSignal.GOOD
    if outcome is AttemptOutcome.TIMED_OUT:
        return HealthSignal.HUNG if slow else None
    return _FAILURES.get(outcome)


class TargetEvidence(msgspec.Struct, frozen=True, array_like=True):
    """One observer's evidence about one incarnation of one target.

    ``scores`` holds the cumulative log-likelihood ratio for each hypothesis
    in ``change_detection.HYPOTHESES``, in that order. ``good`` counts good
    answers, ``attempts`` all attempts that are evidence. ``overdue`` is the
    evidence of overdue requests in flight at the time of the report,
    ``overdue_ms`` how long the oldest of them has been overdue.
    ``in_flight`` counts the other requests in flight: an overdue request may
    never have arrived, so it does not show that a slot is in use.
    """

    target_id: ids.TargetId
    incarnation: ids.TargetIncarnation
    scores: tuple[float, ...]
    good: int
    attempts: int
    overdue: float
    overdue_ms: float
    in_flight: int


class EjectionNotice(msgspec.Struct, frozen=True, array_like=True):
    """A target that the author ejected because of the group's evidence."""

    target_id: ids.TargetId
    incarnation: ids.TargetIncarnation
    remaining_s: float
    score: float


class LeavingNotice(msgspec.Struct, frozen=True, array_like=True):
    """An incarnation of a target that announced that it is leaving."""

    target_id: ids.TargetId
    incarnation: ids.TargetIncarnation


class EvidenceReport(msgspec.Struct, frozen=True):
    """All that one observer reports to its group about one service.

    ``sequence`` grows with each report of one observer instance. An observer
    with ``doubts_itself`` is degraded: it sees most targets fail, so the
    fault is probably its own, and its evidence against targets is ignored.
    """

    sequence: int
    doubts_itself: bool
    evidence: tuple[TargetEvidence, ...]
    ejections: tuple[EjectionNotice, ...]
    leaving: tuple[LeavingNotice, ...]
