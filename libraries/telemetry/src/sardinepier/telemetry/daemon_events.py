"""Events of one daemon's own life and of the requests it refused."""

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
    """The daemon leaves: no new addresses, work in flight is finished."""

    reason: str
    in_flight: int
    grace_s: quantities.Quantity


class DaemonStopped(DaemonEvent, frozen=True):
    """The daemon has finished; ``unfinished`` requests were cut off."""

    finished: int
    unfinished: int


class WakeGapSeen(DaemonEvent, frozen=True):
    """The event loop stood still for ``gap_ms``, more than ``bound_ms``."""

    gap_ms: int
    bound_ms: int


class RequestRefused(DaemonEvent, frozen=True):
    """Refusals of one kind, added up over ``window_s`` seconds.

    One event a refusal would push everything else out of the ring just when
    the fleet is overloaded and the time line is needed.
    """

    service: str
    reason: str
    requests: int
    window_s: quantities.Quantity


class PeerClockRefused(DaemonEvent, frozen=True):
    """A peer's stamps were too far ahead of our wall clock to follow."""

    peer: str
    ahead_ms: int


class UnknownEvent(DaemonEvent, frozen=True):
    """An event of a kind that this version does not know.

    Only a reader makes it: while daemons are being replaced by a newer
    version, one new kind must not hide all other entries. ``text`` is the
    event in JSON.
    """

    text: str


class MessageRejected(DaemonEvent, frozen=True):
    """Malformed messages of one peer, added up over ``window_s`` seconds."""

    peer: str
    problem: str
    messages: int
    window_s: quantities.Quantity
