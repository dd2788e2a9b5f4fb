"""Outcomes of requests and attempts as their callers saw them."""

import dataclasses
import enum


class Kind(enum.Enum):
    """The outcome of an attempt or of a request."""

    COMPLETED = 'completed'
    """A target ran it; its complete answer to this request came back."""

    FAILED = 'failed'
    """A target ran it and answered with an error of its own."""

    WRONG_ANSWER = 'wrong-answer'
    """The answer does not belong to the request, or is incomplete."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'

    CUT = 'cut'
    """The connection broke after all or part of the request was sent."""

    NOT_CONNECTED = 'not-connected'
    """No connection could be made, so nothing was sent."""

    TIMED_OUT = 'timed-out'
    """The caller gave up waiting."""

    UNMARKED = 'unmarked'
    """The answer states no outcome, which every answer of a daemon must."""


UNCERTAIN_KINDS = frozenset(
    (
        Kind.UNKNOWN,
        Kind.CUT,
        Kind.TIMED_OUT,
        Kind.UNMARKED,
    )
)
"""After these the request may have run, so a resend needs the same key."""


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt at a request.

    ``retry_after_s`` is the wait that the answer requests, 0 without one.
    ``problem`` holds the title and detail of a daemon's own answer, or the
    error that cut the connection.
    """

    kind: Kind
    status: int = 0
    retry_after_s: float = 0.0
    retry_allowed: bool = False
    problem: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class KeyUse:
    """A key and the last outcome that its caller received for it."""

    key: str
    last: Kind


@dataclasses.dataclass(slots=True)
class RequestRecord:
    """One request with all its attempts; times are of the local clock."""

    tag: str
    keyed: bool
    started_at_s: float
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    keys: list[KeyUse] = dataclasses.field(default_factory=list)
    first_attempt_ms: float = 0.0
    total_ms: float = 0.0

    @property
    def kind(self) -> Kind:
        """The final outcome of the request.

        An attempt that made no connection says nothing about earlier ones, so
        the last attempt that was sent decides.
        """
        sent = [
            attempt.kind
            for attempt in self.attempts
            if attempt.kind is not Kind.NOT_CONNECTED
        ]
        return sent[-1] if sent else Kind.NOT_CONNECTED
