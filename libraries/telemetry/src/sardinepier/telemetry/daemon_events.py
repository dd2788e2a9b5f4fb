"""Events of the recording daemon: lifecycle, refused requests, bad peers."""

import msgspec
from sardinepier.telemetry import quantities


class DaemonEvent(msgspec.Struct, frozen=True, tag=True, tag_field='kind'):
    """Base of the events about the recording daemon itself."""


class DaemonStarted(DaemonEvent, frozen=True):
    """The daemon accepts requests."""

    daemon_id: str
    zone: str
    http_address: str
    peer_address: str


class DaemonDraining(DaemonEvent, frozen=True):
    """The daemon is leaving: it finishes the requests in flight only."""

    reason: str
    in_flight: int
    grace_s: quantities.Quantity


class DaemonStopped(DaemonEvent, frozen=True):
    """The daemon has stopped; ``unfinished`` requests were cut off."""

    finished: int
    unfinished: int


class WakeGapSeen(DaemonEvent, frozen=True):
    """The event loop was blocked for ``gap_ms``, longer than ``bound_ms``."""

    gap_ms: int
    bound_ms: int


class RequestRefused(DaemonEvent, frozen=True):
    """Refusals with the same reason, added up over ``window_s`` seconds.

    With one event per refusal an overload would evict all other events from
    the ring, just when the timeline is needed.
    """

    service: str
    reason: str
    requests: int
    window_s: quantities.Quantity


class PeerClockRefused(DaemonEvent, frozen=True):
    """A peer's stamps are too far ahead of this daemon's clock to adopt."""

    peer: str
    ahead_ms: int


class UnknownEvent(DaemonEvent, frozen=True):
    """An event of a kind that this version does not know.

    Only the decoder creates it, so that during a rolling upgrade an event of
    a newer daemon does not make the whole timeline unreadable. ``text`` is
    the event in JSON.
    """

    text: str


class MessageRejected(DaemonEvent, frozen=True):
    """Malformed messages from one peer, added up over ``window_s`` seconds."""

    peer: str
    problem: str
    messages: int
    window_s: quantities.Quantity
