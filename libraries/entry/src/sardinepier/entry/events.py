"""The log events of the request path."""

import enum
from collections.abc import Sequence

import msgspec

from sardinepier.entry import attempt_trace, target_record
from sardinepier.once import losses
from sardinepier.telemetry import line_events


class Outcome(enum.Enum):
    """How a request ended."""

    ANSWERED = 'answered'
    """A target answered with a status below 500."""

    TARGET_FAILED = 'target_failed'
    """A target answered with a status of 500 or above, which was forwarded."""

    REFUSED = 'refused'
    """The daemon answered with an error; nothing ran."""

    UNKNOWN = 'unknown'
    """The request may have run, but no target answered."""

    ABANDONED = 'abandoned'
    """The caller disconnected before there was an answer."""

    CUT_OFF = 'cut_off'
    """The daemon closed the connection before there was an answer."""


class Reason(enum.Enum):
    """Why an attempt was made."""

    FIRST = 'first'
    """The best target with a free slot."""

    TURN = 'turn'
    """The first attempt, sent to an idle or suspected target to learn whether it
    works (exploration)."""

    AGAIN = 'again'
    """A retry, after an attempt that failed or did not run."""

    BESIDE = 'beside'
    """A hedge, while another attempt takes long."""


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    """The target that an attempt is sent to, and the data behind that choice.

    ``chance`` is the target's estimated failure probability. The estimate was
    updated ``belief_age_ms`` ago with an observation of ``belief_source``.
    ``in_flight`` counts the requests of the target, including this one.
    """

    attempt: int
    reason: Reason
    target: str
    target_zone: str
    chance: float
    belief_age_ms: int
    belief_source: target_record.ObservationSource
    in_flight: int


class RequestSent(line_events.LineEvent, frozen=True):
    """A target was chosen and the attempt starts.

    Written before the outcome is known, so that the line exists even if the
    daemon crashes. ``targets_age_ms`` is how long ago the target list in use
    was requested from the platform, -1 if unknown.
    """

    request_id: str
    route: str
    service: str
    repeatable: bool
    choice: Choice
    waited_ms: int
    left_ms: int
    configuration_version: int
    targets_revision: int
    targets_age_ms: int


class TargetStated(line_events.LineEvent, frozen=True):
    """A target's statement differs from the one in its previous answer.

    ``limit_per_s`` is -1 if the target states no limit. ``rest_ms`` is how long
    it asks to back off, 0 if not at all. ``request_id`` is the request that it
    answered.
    """

    request_id: str
    service: str
    target: str
    is_leaving: bool
    limit_per_s: float
    rest_ms: int


class ForeignAnswer(line_events.LineEvent, frozen=True):
    """A target sent an answer that does not bear the id of the request.

    ``echoed_id`` is the id that it bears instead, empty if it bears none. Only
    the first of an attempt is logged.
    """

    request_id: str
    service: str
    repeatable: bool
    attempt: int
    target: str
    status: int
    echoed_id: str


class AttemptFailed(line_events.LineEvent, frozen=True):
    """An attempt failed, or got a server error."""

    request_id: str
    route: str
    service: str
    repeatable: bool
    choice: Choice
    what: str
    taken_ms: int


class ConnectionLost(line_events.LineEvent, frozen=True):
    """A connection ended without an answer, as the quarantine takes it.

    ``fingerprint`` is the same whenever the same request is sent.
    ``marked_targets`` counts the targets that are taken to have crashed by it,
    ``other_losses`` the other targets of the service that were lost since its
    last good answer and that no request accounts for.
    """

    request_id: str
    service: str
    target: str
    fingerprint: str
    verdict: losses.LossVerdict
    marked_targets: int
    other_losses: int


class RequestRelayed(line_events.LineEvent, frozen=True):
    """An attempt was made by another daemon, and how it ended.

    ``outcome`` is ``answered``, ``cancelled`` or the type of the error. The
    lines of ``peer`` have the same ``request_id``.
    """

    request_id: str
    route: str
    service: str
    peer: str
    outcome: str
    attempt: int
    taken_ms: int
    left_ms: int


class RetryWaited(line_events.LineEvent, frozen=True):
    """A request waited for retry budget, and got it or was refused.

    ``error`` is empty if it got budget. ``budget_left`` are the attempts left
    afterwards, ``accepted_share`` the share of the requests, 0 to 1, that the
    service's targets accept, and ``waiting`` the requests that still wait.
    """

    request_id: str
    route: str
    service: str
    priority: int
    error: str
    waited_ms: int
    left_ms: int
    budget_left: float
    accepted_share: float
    waiting: int


class RetryBudgetUsed(line_events.LineEvent, frozen=True):
    """Retry budget of a service was spent since the last such line.

    ``attempts`` were spent, less those that were given back, and ``requests``
    counted within ``period_ms``; all lines of all daemons add up to what the
    fleet used in a window. ``budget_left`` are the attempts left.
    """

    service: str
    attempts: int
    requests: int
    period_ms: int
    budget_left: float


class RequestEnded(line_events.LineEvent, frozen=True):
    """A request ended otherwise than by a good answer to its first attempt.

    ``customer`` is empty if the request had no known key. ``error`` and
    ``what`` are empty if a target's answer was forwarded. ``targets`` counts
    the known targets of the service, ``with_room`` those with a free slot.
    ``history`` has the attempts that have ended, in order.
    """

    request_id: str
    customer: str
    route: str
    service: str
    outcome: Outcome
    status: int
    error: str
    what: str
    repeatable: bool
    attempts: int
    taken_ms: int
    targets: int
    with_room: int
    configuration_version: int
    targets_revision: int
    history: Sequence[attempt_trace.AttemptTrace]


class LinesDropped(line_events.LineEvent, frozen=True):
    """Log lines were dropped by the rate limit: the number of each kind.

    ``once`` counts those about non-idempotent requests that had an attempt.
    """

    sent: int
    failed: int
    once: int


class TargetsChanged(line_events.LineEvent, frozen=True):
    """A newer target list is in use.

    ``age_ms`` is how long ago the list was requested from the platform, -1 if
    unknown.
    """

    revision: int
    age_ms: int
    added: Sequence[str]
    gone: Sequence[str]
    draining: Sequence[str]


class CutOff(line_events.LineEvent, frozen=True):
    """No target of a service can be connected to; requests are relayed.

    ``failed`` are some targets whose connections failed, of ``targets`` known
    ones.
    """

    service: str
    failed: Sequence[str]
    targets: int


class Reconnected(line_events.LineEvent, frozen=True):
    """A target of a service that was cut off can be connected to again."""

    service: str
    lasted_ms: int
