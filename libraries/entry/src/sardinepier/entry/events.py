"""What the request path writes to the log, a class for each kind of line."""

import enum
from collections.abc import Sequence

import msgspec

from sardinepier.entry import target_record
from sardinepier.telemetry import line_events


class Outcome(enum.Enum):
    """What became of a request."""

    ANSWERED = 'answered'
    """A target answered well, or said why it would not."""

    TARGET_FAILED = 'target_failed'
    """A target answered that it failed, and that was passed on."""

    REFUSED = 'refused'
    """Nothing ran, and the caller was told so."""

    UNKNOWN = 'unknown'
    """It may have run; no answer of a target came."""

    ABANDONED = 'abandoned'
    """The caller left before there was an answer."""


class Reason(enum.Enum):
    """Why an attempt was made."""

    FIRST = 'first'
    """The surest target that had room."""

    TURN = 'turn'
    """The first one, to a target that had been idle or doubted for long enough
    to have its turn."""

    AGAIN = 'again'
    """After one that failed or did not run."""

    BESIDE = 'beside'
    """While another one takes long."""


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    """Which target an attempt goes to, and what that was decided by.

    ``chance`` is the chance of failure that the choice went by, from the
    belief of ``belief_age_ms`` ago that rests on what ``belief_source`` saw.
    ``in_flight`` is what the target has, with this one.
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
    """A target was chosen and the attempt begins.

    Written before the outcome is known, so that it is there even when the
    daemon is not any more. ``targets_age_ms`` is how long ago the platform was
    asked for the list that the choice goes by, -1 for unknown.
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
    """A target told something else of itself than in its answer before.

    ``limit_per_s`` is -1 when it names no limit, and ``rest_ms`` 0 when it asks
    for no rest. ``request_id`` names the request that it answered.
    """

    request_id: str
    service: str
    target: str
    is_leaving: bool
    limit_per_s: float
    rest_ms: int


class AttemptFailed(line_events.LineEvent, frozen=True):
    """An attempt got no good answer."""

    request_id: str
    route: str
    service: str
    repeatable: bool
    choice: Choice
    what: str
    taken_ms: int


class RequestEnded(line_events.LineEvent, frozen=True):
    """A request was not simply answered at the first attempt.

    ``customer`` is empty where none was known by a key.
    ``error`` and ``what`` are empty when a target's answer was passed on.
    ``targets`` are those known of the service, ``with_room`` of them would
    work on one more request at once.
    """

    request_id: str
    customer: str
    route: str
    service: str
    outcome: Outcome
    status: int
    error: str
    what: str
    attempts: int
    taken_ms: int
    targets: int
    with_room: int
    configuration_version: int
    targets_revision: int


class LinesDropped(line_events.LineEvent, frozen=True):
    """More lines were due than are written: so many of each sort are not."""

    sent: int
    failed: int


class TargetsChanged(line_events.LineEvent, frozen=True):
    """A newer list of targets is in use.

    ``age_ms`` is how long ago the platform was asked for it, -1 for unknown.
    """

    revision: int
    age_ms: int
    added: Sequence[str]
    gone: Sequence[str]
    draining: Sequence[str]
