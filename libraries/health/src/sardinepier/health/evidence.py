"""Evidence: what one attempt says about its target, and what peers are told.

Everything in an :class:`EvidenceReport` is a fact which only its author
changes. Scores and counts are cumulative over the life of the author's
process, so a lost report costs nothing but time, a repeated one changes
nothing, and an old one is known by its sequence number.
"""

import enum
from typing import Final

import msgspec

from sardinepier.core import ids


class AttemptOutcome(enum.Enum):
    """How one attempt at a target ended, as the gateway saw it."""

    ANSWERED = 'answered'
    FAILED = 'failed'
    """The target answered that it failed, for example with status 500."""

    WRONG = 'wrong'
    """The answer was truncated or broke the protocol."""

    TIMED_OUT = 'timed-out'
    CONNECT_FAILED = 'connect-failed'
    CONNECTION_LOST = 'connection-lost'
    SHED = 'shed'
    CANCELLED = 'cancelled'
    CRASH_SUSPECT = 'crash-suspect'
    """The connection broke under a request that broke others before."""


class HealthSignal(enum.Enum):
    """What one finished or overdue attempt says about its target."""

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


def signal_of(end: AttemptOutcome, slow: bool) -> HealthSignal | None:
    """Return the sign that an attempt leaves, or None when it says nothing.

    ``slow`` says that the attempt took far longer than its route does at the
    other targets. A timeout of a request that was given too little time is
    no evidence; shed, cancelled and crash-suspect attempts never are.
    """
    if end is AttemptOutcome.ANSWERED:
        return HealthSignal.SLOW if slow else HealthSignal.GOOD
    if end is AttemptOutcome.TIMED_OUT:
        return HealthSignal.HUNG if slow else None
    return _FAILURES.get(end)


class TargetEvidence(msgspec.Struct, frozen=True, array_like=True):
    """One observer's evidence about one incarnation of one target.

    ``scores`` holds the cumulative log-likelihood ratio for each hypothesis
    in ``change_detection.HYPOTHESES``, in that order. ``good`` counts good
    answers, ``attempts`` all attempts that said anything. ``overdue`` is the
    evidence of requests still in flight at the moment of the report, and
    ``overdue_ms`` for how long the oldest of these has been overdue.
    ``in_flight`` counts the other requests in flight: overdue ones may never
    have arrived, so they do not show that a slot is taken.
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
    """A target that the author has ejected on the group's evidence."""

    target_id: ids.TargetId
    incarnation: ids.TargetIncarnation
    remaining_s: float
    score: float


class LeavingNotice(msgspec.Struct, frozen=True, array_like=True):
    """An incarnation of a target that said it is leaving."""

    target_id: ids.TargetId
    incarnation: ids.TargetIncarnation


class EvidenceReport(msgspec.Struct, frozen=True):
    """All that one observer tells its group about one service.

    ``sequence`` grows with each report of one observer instance. An observer
    that ``doubts_itself`` sees most targets fail and suspects its own side;
    nothing it holds against a target counts meanwhile.
    """

    sequence: int
    doubts_itself: bool
    evidence: tuple[TargetEvidence, ...]
    ejections: tuple[EjectionNotice, ...]
    leaving: tuple[LeavingNotice, ...]
