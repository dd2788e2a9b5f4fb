"""The state that a daemon keeps of one incarnation of one target."""

import collections
import dataclasses
import enum
from typing import Final

from sardinepier.core import ids
from sardinepier.health import change_detection, readmission, targets

_PRIOR_COUNT: Final = 0.5
_MAX_RECENT_GOOD: Final = 32


@dataclasses.dataclass(slots=True)
class InFlightAttempt:
    """One attempt in flight; ``median`` is its route's median log latency."""

    started_s: float
    median: float | None


@dataclasses.dataclass(slots=True)
class Window:
    """Outcomes of attempts since the last tick."""

    residuals: list[int] = dataclasses.field(default_factory=list)
    failures: int = 0
    wrong: int = 0
    successes: int = 0
    good: int = 0

    def attempts(self) -> int:
        """Return how many attempts were evidence."""
        return self.failures + self.wrong + self.successes

    def clear(self) -> None:
        """Start a new window."""
        self.residuals.clear()
        self.failures = 0
        self.wrong = 0
        self.successes = 0
        self.good = 0


@dataclasses.dataclass(slots=True)
class Recent:
    """This daemon's counts of the last few seconds, decaying exponentially."""

    attempts: float = 0.0
    failures: float = 0.0
    residual_sum: float = 0.0
    residual_count: float = 0.0
    newest_sum: float = 0.0
    newest_count: float = 0.0
    """Residuals of the last half second, to detect slowness of all targets."""

    def add_residuals(self, residuals: list[int]) -> None:
        """Count the residuals of a window."""
        total = sum(residuals)
        self.residual_sum += total
        self.residual_count += len(residuals)
        self.newest_sum += total
        self.newest_count += len(residuals)

    def mean_residual(self) -> float:
        """Return the mean residual, shrunk towards zero for few residuals."""
        return self.residual_sum / (self.residual_count + _PRIOR_COUNT)


@dataclasses.dataclass(slots=True)
class Tally:
    """This daemon's cumulative counters for its reports."""

    scores: list[float] = dataclasses.field(
        default_factory=lambda: [0.0 for _ in change_detection.HYPOTHESES],
    )
    good: int = 0
    attempts: int = 0


class GroupVote(enum.Enum):
    """The result of the group's vote: undecided, a cut link or a bad target."""

    OPEN = 'open'
    CUT_LINK = 'cut-link'
    SICK = 'sick'


@dataclasses.dataclass(slots=True)
class Votes:
    """One observer's attempts since the target was suspected."""

    reports: int = 0
    attempts: int = 0
    bad: int = 0

    def halve(self) -> None:
        """Reduce the weight of older votes."""
        self.attempts //= 2
        self.bad //= 2


def _recent_good() -> collections.deque[tuple[float, int]]:
    return collections.deque(maxlen=_MAX_RECENT_GOOD)


def _cusums() -> list[change_detection.Cusum]:
    return [change_detection.Cusum() for _ in change_detection.HYPOTHESES]


@dataclasses.dataclass(slots=True)
class Suspicion:
    """Evidence against a target after the last tick."""

    own: list[change_detection.Cusum] = dataclasses.field(
        default_factory=_cusums,
    )
    group: list[change_detection.Cusum] = dataclasses.field(
        default_factory=_cusums,
    )
    pending: dict[ids.InstanceId, list[float]] = dataclasses.field(
        default_factory=dict,
    )
    overdue: float = 0.0
    overdue_ms: float = 0.0
    overdue_count: int = 0
    votes: dict[ids.InstanceId, Votes] = dataclasses.field(
        default_factory=dict,
    )
    recent_good: collections.deque[tuple[float, int]] = dataclasses.field(
        default_factory=_recent_good,
    )
    """Time and number of the newest good answers of all observers."""

    since_s: float | None = None
    voting_since_s: float | None = None
    votes_halved_s: float = 0.0
    own_level: float = 0.0
    own_loss_score: float = 0.0
    """Score of failures and overdue requests only, the signs of a cut link."""

    finished_level: float = 0.0
    """The group's level of finished attempts, as a share of the threshold."""

    own_score: float = 0.0
    group_score: float = 0.0
    vote: GroupVote = GroupVote.OPEN

    def score(self) -> float:
        """Return the larger of both scores, as a share of the threshold."""
        return max(self.own_score, self.group_score)

    def restart(self, level: float, own: ids.InstanceId) -> None:
        """Discard all evidence; later evidence starts at ``level``."""
        for cusum in (*self.own, *self.group):
            cusum.restart(level)
            if level > 0:
                cusum.by_observer[own] = level
        self.pending.clear()
        self.votes.clear()
        self.since_s = None
        self.voting_since_s = None
        self.own_level = 0.0
        self.own_score = 0.0
        self.group_score = 0.0
        self.overdue = 0.0
        self.overdue_ms = 0.0
        self.overdue_count = 0


@dataclasses.dataclass(slots=True)
class Probing:
    """Due times of the target's probes, and failed probes in a row."""

    due_s: float = 0.0
    suspect_due_s: float = 0.0
    failed_in_row: int = 0


@dataclasses.dataclass(slots=True)
class TrackedTarget:
    """One incarnation of one target, with all evidence about it."""

    identity: targets.TargetIdentity
    state: targets.TargetState = targets.TargetState.IN_SERVICE
    reason: targets.Reason = targets.Reason.NONE
    verdict: targets.Reason = targets.Reason.NONE
    ejected_score: float = 0.0
    cold_until_s: float = 0.0
    has_good_answer: bool = False
    """It gave a good answer while it was cold."""

    last_good_s: float | None = None
    last_traffic_s: float | None = None
    in_flight_attempts: dict[int, InFlightAttempt] = dataclasses.field(
        default_factory=dict
    )
    window: Window = dataclasses.field(default_factory=Window)
    recent: Recent = dataclasses.field(default_factory=Recent)
    tally: Tally = dataclasses.field(default_factory=Tally)
    suspicion: Suspicion = dataclasses.field(default_factory=Suspicion)
    probing: Probing = dataclasses.field(default_factory=Probing)
    readmission_state: readmission.Readmission = dataclasses.field(
        default_factory=readmission.Readmission,
    )

    @property
    def target_id(self) -> ids.TargetId:
        """Return the target's id."""
        return self.identity.target_id
