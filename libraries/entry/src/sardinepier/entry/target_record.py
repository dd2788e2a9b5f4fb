"""What one daemon knows about one target."""

import dataclasses
import enum
from typing import Final

import yarl

from sardinepier.entry import model, use_elsewhere
from sardinepier.entry import stated_load as stated_loads
from sardinepier.gateway import target_statements
from sardinepier.health import failure_estimate, refusal_estimate

_SMOOTHING: Final = 0.2
"""Weight of the newest latency: about the last five determine the average."""

_OVERDUE_FACTOR: Final = 4.0
"""An attempt that takes this multiple of the typical latency is more likely
hung than still being processed: 99 of 100 requests take less than three times
the mean processing time."""

_MIN_OVERDUE_S: Final = 0.5
_OVERDUE_PROBABILITY: Final = 0.6
"""Failure probability of a target with an overdue attempt."""

_SETTLED_S: Final = 0.03
"""An attempt that has not failed within this time most likely won't: failures
of failing targets come within a few milliseconds."""

_AVOIDED_S: Final = 1.0
"""How long a target is avoided after a connection attempt timed out; it doubles
with each further timeout. An attempt delays a request by the connect timeout, a
third of a second, and has no other cost."""

_MAX_AVOIDED_S: Final = 4.0
_UNREACHABLE_PROBABILITY: Final = 0.9

_SUSPECTED_PROBABILITY: Final = 0.1
"""Failure probability above which a target gets no further request until the
newest one has had the time to fail."""


class ObservationSource(enum.Enum):
    """Who observed the newest outcome that an estimate is based on."""

    NOBODY = 'nobody'
    """No outcome is known: the estimate is the average over all targets."""

    OWN = 'own'
    ZONE = 'zone'
    """Another daemon of the own zone."""

    OTHER_ZONE = 'other_zone'


@dataclasses.dataclass(slots=True, eq=False)
class TargetRecord:
    """One target with its failure estimate, its open attempts and its latency.

    ``preference_offset``, 0 to 1, is drawn at random by this daemon, so that
    daemons which share a zone prefer different targets among equals.
    ``estimate_source`` is who observed the outcome that ``estimate`` is based
    on.
    ``started_s`` maps each open attempt to when it began, oldest first.
    The target is slow after its start until ``warm_from_s``, and
    ``latency_ratio`` is its latency relative to that of the service, 1.0 if
    both are equal.
    ``refusal`` estimates whether it sheds requests; ``refusal_source`` is who
    observed its newest shed.
    ``full_until_s`` is until when it gets nothing as it had no free slot.
    ``reserved`` counts slots of requests whose attempt has not begun yet.
    ``elsewhere`` has the requests in flight that other daemons reported.
    ``is_exploration`` says that its newest request was sent to explore it.
    ``failed_connects`` counts the connection attempts that timed out since its
    last answer; because of them it is avoided until ``avoided_until_s``.
    Connections to its address that are older than ``known_since_s`` lead to an
    earlier incarnation. ``statements`` are what it stated in its answers,
    ``statements_source`` is who received the newest one.
    """

    listed: model.ListedTarget
    estimate: failure_estimate.FailureEstimate
    url: yarl.URL
    known_since_s: float = 0.0
    preference_offset: float = 0.0
    estimate_source: ObservationSource = ObservationSource.NOBODY
    started_s: dict[int, float] = dataclasses.field(default_factory=dict)
    latency_ratio: float = 1.0
    warm_from_s: float = 0.0
    refusal: refusal_estimate.RefusalEstimate = dataclasses.field(
        default_factory=refusal_estimate.RefusalEstimate,
    )
    refusal_source: ObservationSource = ObservationSource.NOBODY
    full_until_s: float = 0.0
    stated_load: stated_loads.StatedLoad = dataclasses.field(
        default_factory=lambda: stated_loads.StatedLoad(
            stated_loads.LoadMeaning(),
        ),
    )
    elsewhere: use_elsewhere.UseElsewhere = dataclasses.field(
        default_factory=use_elsewhere.UseElsewhere,
    )
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
        """Return whether any daemon is known to have sent it a request."""
        if self.was_used:
            return True
        return self.estimate_source is not ObservationSource.NOBODY

    def last_known_use_s(self) -> float:
        """Return when it last got or answered a request, as far as is known."""
        return max(self.last_used_s, self.estimate.updated_s)

    def own_in_flight(self) -> int:
        """Return this daemon's requests in flight."""
        return len(self.started_s) + self.reserved

    def in_flight(self, now_s: float) -> int:
        """Return its requests in flight; includes other daemons' if known.

        Reports of other daemons that are older than the load which the target
        stated are left out. Later ones mostly count the same requests as the
        stated load, so that the larger of both is added and not their sum.
        This daemon's own requests are in neither.
        """
        reported = self.elsewhere.in_flight(now_s, self.stated_load.stated_s)
        stated = self.stated_load.others(now_s)
        return self.own_in_flight() + max(reported, stated)

    def has_free_slot(self, now_s: float) -> bool:
        """Return whether one more request would be processed at once."""
        return now_s >= self.full_until_s and self.free_slots(now_s) > 0

    def may_have_free_slot(self, now_s: float) -> bool:
        """Return whether it has one by all but other daemons' reports."""
        in_flight = self.own_in_flight() + self.stated_load.others(now_s)
        return now_s >= self.full_until_s and in_flight < _usable_slots(self)

    def free_slots(self, now_s: float) -> int:
        """Return how many more requests its slots allow for."""
        return _usable_slots(self) - self.in_flight(now_s)

    def is_avoided(self, now_s: float) -> bool:
        """Return whether a connection attempt timed out a moment ago."""
        return now_s < self.avoided_until_s

    def is_overdue(self, now_s: float, typical_latency_s: float) -> bool:
        """Return whether an open attempt takes far longer than is typical."""
        oldest_s = next(iter(self.started_s.values()), now_s)
        return is_hang(now_s - oldest_s, typical_latency_s)

    def failure_probability(
        self, now_s: float, typical_latency_s: float
    ) -> float:
        """Return the probability that a request sent now fails.

        Failing targets mostly fail at once. An attempt that has been open for
        a moment therefore counts in favour of its target, and an overdue one
        counts against it.
        """
        if self.is_avoided(now_s):
            return _UNREACHABLE_PROBABILITY
        if self.is_overdue(now_s, typical_latency_s):
            return max(
                _OVERDUE_PROBABILITY, self.estimate.failure_probability(now_s)
            )
        since_s = self.estimate.updated_s
        has_settled_attempt = any(
            since_s < began_s < now_s - _SETTLED_S
            for began_s in self.started_s.values()
        )
        if has_settled_attempt:
            return self.estimate.failure_probability_after_answer(now_s)
        return self.estimate.failure_probability(now_s)

    def has_unsettled_attempt(self, now_s: float) -> bool:
        """Return whether a request was sent a moment ago or is about to be."""
        newest_s = next(reversed(self.started_s.values()), 0.0)
        return self.reserved > 0 or now_s - newest_s < _SETTLED_S

    def awaits_trial(self, now_s: float, typical_latency_s: float) -> bool:
        """Return whether a suspected target has a request that may still fail.

        Other requests wait until that one has failed or is settled.
        """
        probability = self.failure_probability(now_s, typical_latency_s)
        return (
            probability > _SUSPECTED_PROBABILITY
            and self.has_unsettled_attempt(now_s)
        )

    def mark_unreachable(self, now_s: float) -> None:
        """Record that a connection attempt timed out.

        This may be a fault of the network path and not of the target. Other
        daemons may reach the target, so that it is not reported to them.
        """
        avoided_s = _AVOIDED_S * 2**self.failed_connects
        self.failed_connects += 1
        self.avoided_until_s = now_s + min(_MAX_AVOIDED_S, avoided_s)

    def mark_reachable(self) -> None:
        """Record that the target answered."""
        self.failed_connects = 0
        self.avoided_until_s = 0.0

    def record_load(
        self,
        running: int,
        waiting: int,
        now_s: float,
        *,
        is_failure: bool = False,
    ) -> None:
        """Record the load that the target stated, own requests included."""
        self.stated_load.record(
            running + waiting,
            list(self.started_s.values()),
            now_s,
            is_failure=is_failure,
        )

    def record_latency(
        self, latency_s: float, typical_latency_s: float
    ) -> None:
        """Record the latency of one answer relative to the typical latency."""
        if typical_latency_s > 0:
            self.latency_ratio += _SMOOTHING * (
                latency_s / typical_latency_s - self.latency_ratio
            )


def is_hang(taken_s: float, typical_latency_s: float) -> bool:
    """Return whether ``taken_s`` shows a hang, not a long processing time."""
    return taken_s > max(_MIN_OVERDUE_S, _OVERDUE_FACTOR * typical_latency_s)


def _usable_slots(record: TargetRecord) -> int:
    # If it is still full after its backoff, it would refuse any others.
    return 1 if record.statements.has_backed_off else record.listed.slots
