"""What became of each request, as its caller saw it."""

import dataclasses
import enum


class Kind(enum.Enum):
    """How one attempt, or in the end one request, came out."""

    COMPLETED = 'completed'
    """A target ran it; the whole answer to this very request came back."""

    FAILED = 'failed'
    """A target ran it and answered with an error of its own."""

    WRONG_ANSWER = 'wrong-answer'
    """The answer does not belong to the request, or is not whole."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'

    CUT = 'cut'
    """The connection broke after the request, or part of it, was sent."""

    NOT_CONNECTED = 'not-connected'
    """No connection could be made, so nothing was sent."""

    TIMED_OUT = 'timed-out'
    """The caller gave up waiting."""

    UNMARKED = 'unmarked'
    """The answer said nothing about the outcome, which no daemon may do."""


UNCERTAIN_KINDS = frozenset(
    (
        Kind.UNKNOWN,
        Kind.CUT,
        Kind.TIMED_OUT,
        Kind.UNMARKED,
    )
)
"""After these the request may have run, so only the same key is safe."""


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One time that a request was sent.

    ``retry_after_s`` is what the answer asked the caller to wait, 0 when it
    said nothing. ``problem`` is the title of a daemon's own answer.
    """

    kind: Kind
    status: int = 0
    retry_after_s: float = 0.0
    retry_allowed: bool = False
    problem: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class KeyUse:
    """A key and the last that was heard about it."""

    key: str
    last: Kind


@dataclasses.dataclass(slots=True)
class RequestRecord:
    """One request with all of its attempts; times on the local clock."""

    tag: str
    keyed: bool
    started_at_s: float
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    keys: list[KeyUse] = dataclasses.field(default_factory=list)
    first_attempt_ms: float = 0.0
    total_ms: float = 0.0

    @property
    def kind(self) -> Kind:
        """How the request came out in the end.

        A connection that could not be made tells nothing new about a request
        which was sent before, so the last attempt that was sent decides.
        """
        sent = [
            attempt.kind
            for attempt in self.attempts
            if attempt.kind is not Kind.NOT_CONNECTED
        ]
        return sent[-1] if sent else Kind.NOT_CONNECTED
