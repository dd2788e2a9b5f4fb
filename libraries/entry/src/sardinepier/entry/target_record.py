"""What one daemon knows of one target."""

import dataclasses
import enum
from typing import Final

import yarl

from sardinepier.entry import model
from sardinepier.gateway import target_statements
from sardinepier.health import failure_estimate

_SMOOTHING: Final = 0.2
"""Weight of the newest latency; about the last five decide."""

_OVERDUE_FACTOR: Final = 4.0
"""Work that takes so many times the usual is more likely hung than long:
measured work lies below three times its mean in 99 of 100 requests."""

_LEAST_OVERDUE_S: Final = 0.5
_OVERDUE_CHANCE: Final = 0.6
"""Chance of failure at a target with an attempt that is long overdue."""

_SETTLED_S: Final = 0.03
"""An attempt that has not failed for so long most likely won't: measured
failures of failing targets come within a few milliseconds."""

_AVOIDED_S: Final = 1.0
"""How long a target is avoided after a connection to it timed out; longer after
each further one. A try costs a request the time to connect, a third of a
second, and nothing else."""

_LONGEST_AVOIDED_S: Final = 4.0
_OUT_OF_REACH_CHANCE: Final = 0.9

_LOAD_KEPT_S: Final = 0.4
"""How long a target's own count of its load is believed."""


_DOUBTFUL: Final = 0.1
"""Chance of failure above which a target gets one request at a time until it
is seen how that one goes."""


class ObservationSource(enum.Enum):
    """Who saw the newest outcome that a belief rests on."""

    NOBODY = 'nobody'
    """No outcome is known: the belief is what holds of targets in general."""

    OWN = 'own'
    ZONE = 'zone'
    """Another daemon of the own zone."""

    OTHER_ZONE = 'other_zone'


@dataclasses.dataclass(slots=True, eq=False)
class TargetRecord:
    """One target with its belief, its open attempts and its pace.

    ``preference_offset``, 0 to 1, is drawn by this daemon, so that daemons
    which share a zone prefer different targets among equals.
    ``belief_source`` says whose outcome the belief rests on.
    ``started_s`` holds when each open attempt began, oldest first.
    ``warm_from_s`` is until when it is slow after its start, and
    ``latency_ratio`` how slow it is against the service's usual, 1.0 for equal.
    ``full_until_s`` is until when it asked for no more work. ``reserved``
    counts slots that were given to requests which have not begun yet.
    ``is_exploration`` says that its newest request came to it because it was idle,
    not because it was the surest.
    ``failed_connects`` counts the connections that timed out since it was
    last heard, and ``avoided_until_s`` is what came of them. Connections to
    its address that are older than ``known_since_s`` go to an earlier start.
    ``statements`` is what it asked for in its answers, ``statements_source`` to whom.
    """

    listed: model.ListedTarget
    estimate: failure_estimate.FailureEstimate
    url: yarl.URL
    known_since_s: float = 0.0
    preference_offset: float = 0.0
    belief_source: ObservationSource = ObservationSource.NOBODY
    started_s: dict[int, float] = dataclasses.field(default_factory=dict)
    latency_ratio: float = 1.0
    warm_from_s: float = 0.0
    full_until_s: float = 0.0
    others_load: int = 0
    others_load_until_s: float = 0.0
    reserved: int = 0
    was_used: bool = False
    is_exploration: bool = False
    last_used_s: float = 0.0
    failed_connects: int = 0
    avoided_until_s: float = 0.0
    statements_source: ObservationSource = ObservationSource.NOBODY
    statements: target_statements.TargetStatements = dataclasses.field(
        default_factory=target_statements.TargetStatements,
    )

    def was_ever_used(self) -> bool:
        """Tell whether anybody of whom this daemon hears gave it a request."""
        if self.was_used:
            return True
        return self.belief_source is not ObservationSource.NOBODY

    def last_known_use_s(self) -> float:
        """Return when it was last known to get, or to answer, a request."""
        return max(self.last_used_s, self.estimate.updated_s)

    def in_flight(self, now_s: float) -> int:
        """Return the requests it has: our own, and others' where known."""
        own = len(self.started_s) + self.reserved
        if now_s < self.others_load_until_s:
            return own + self.others_load
        return own

    def has_free_slot(self, now_s: float) -> bool:
        """Tell whether one more request would be worked on at once."""
        if now_s < self.full_until_s:
            return False
        # When it is still full after its rest, more would only be refused.
        slots = 1 if self.statements.has_backed_off else self.listed.slots
        return self.in_flight(now_s) < slots

    def is_avoided(self, now_s: float) -> bool:
        """Tell whether the way to it was lost a moment ago."""
        return now_s < self.avoided_until_s

    def is_overdue(self, now_s: float, typical_latency_s: float) -> bool:
        """Tell whether an open attempt takes far longer than usual."""
        oldest_s = next(iter(self.started_s.values()), now_s)
        return is_hang(now_s - oldest_s, typical_latency_s)

    def failure_probability(
        self, now_s: float, typical_latency_s: float
    ) -> float:
        """Return the chance that a request sent now fails.

        Targets that fail mostly do so at once, so that an attempt which has
        been open for a moment already speaks for its target, and one that is
        long overdue speaks against it.
        """
        if self.is_avoided(now_s):
            return _OUT_OF_REACH_CHANCE
        if self.is_overdue(now_s, typical_latency_s):
            return max(
                _OVERDUE_CHANCE, self.estimate.failure_probability(now_s)
            )
        since_s = self.estimate.updated_s
        settled = any(
            since_s < began_s < now_s - _SETTLED_S
            for began_s in self.started_s.values()
        )
        if settled:
            return self.estimate.failure_probability_after_answer(now_s)
        return self.estimate.failure_probability(now_s)

    def is_unsettled(self, now_s: float) -> bool:
        """Tell whether a request was sent a moment ago, or is about to be."""
        newest_s = next(reversed(self.started_s.values()), 0.0)
        return self.reserved > 0 or now_s - newest_s < _SETTLED_S

    def awaits_trial(self, now_s: float, typical_latency_s: float) -> bool:
        """Tell whether a doubtful target has a request it may yet fail.

        Others wait for what becomes of that one, which shows in a moment.
        """
        chance = self.failure_probability(now_s, typical_latency_s)
        return chance > _DOUBTFUL and self.is_unsettled(now_s)

    def mark_unreachable(self, now_s: float) -> None:
        """Take in that a connection timed out.

        That speaks of the way from here, and of no failure of the target:
        other daemons may reach it, and are not told.
        """
        avoided_s = _AVOIDED_S * 2**self.failed_connects
        self.failed_connects += 1
        self.avoided_until_s = now_s + min(_LONGEST_AVOIDED_S, avoided_s)

    def mark_reachable(self) -> None:
        """Take in that the target was heard."""
        self.failed_connects = 0
        self.avoided_until_s = 0.0

    def record_load(self, running: int, waiting: int, now_s: float) -> None:
        """Take in the target's own count, which includes our requests."""
        self.others_load = max(0, running + waiting - len(self.started_s))
        self.others_load_until_s = now_s + _LOAD_KEPT_S

    def record_latency(
        self, latency_s: float, typical_latency_s: float
    ) -> None:
        """Take in how long one answer took against the usual."""
        if typical_latency_s > 0:
            self.latency_ratio += _SMOOTHING * (
                latency_s / typical_latency_s - self.latency_ratio
            )


def is_hang(taken_s: float, typical_latency_s: float) -> bool:
    """Tell whether ``taken_s`` shows a hang rather than long work."""
    return taken_s > max(_LEAST_OVERDUE_S, _OVERDUE_FACTOR * typical_latency_s)
