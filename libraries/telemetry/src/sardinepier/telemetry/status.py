"""The status document: what one daemon says about itself.

The daemon fills it for ``GET /v1/status`` and the command-line tool reads it.
Every field is a fact as this one daemon sees it; two daemons may differ.
"""

import msgspec
from sardinepier.telemetry import quantities


class MemberStatus(msgspec.Struct, frozen=True, kw_only=True):
    """One daemon of the fleet in the answering daemon's view.

    ``state`` is ``alive``, ``suspect``, ``leaving`` or ``dead``.
    """

    instance_id: str
    daemon_id: str
    zone: str
    region: str
    state: str
    incarnation: int


class FileStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A published file: the revision in force and what is wrong with newer.

    ``problems`` lists the mistakes for which a newer revision was rejected;
    it is empty while the newest revision seen is in force.
    """

    name: str
    revision: int
    problems: tuple[str, ...] = ()


class TargetStatus(msgspec.Struct, frozen=True, kw_only=True):
    """One target of a service.

    ``state`` is ``cold``, ``in-service``, ``suspect``, ``ejected``,
    ``trial`` or ``leaving``; ``weight`` lies between 0 and 1; ``reason`` says
    why the state is not ``in-service`` and is empty otherwise. ``evidence``
    is that against the target as a share of the threshold for ejection, and
    ``returns_in_s`` the rest of an ejection, None when it is not ejected.
    """

    target_id: str
    zone: str
    state: str
    weight: float
    reason: str = ''
    in_flight: int = 0
    incarnation: str = ''
    evidence: quantities.Quantity = 0.0
    returns_in_s: quantities.Quantity = None


class ServiceStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A service and its targets."""

    name: str
    targets: tuple[TargetStatus, ...] = ()
    queued_requests: int = 0
    floor_percent: float = 0.0


class OutcomeCount(msgspec.Struct, frozen=True, kw_only=True):
    """How many requests of a service ended with an outcome since the start.

    ``outcome`` is a value of ``sardinepier.core.outcomes.Outcome``.
    """

    service: str
    outcome: str
    requests: int


class LatencySummary(msgspec.Struct, frozen=True, kw_only=True):
    """The distribution of one histogram, in milliseconds.

    ``histogram`` is the encoded histogram, so that a reader can merge those
    of many daemons instead of averaging quantiles, which would be wrong.
    """

    name: str
    service: str
    requests: int
    p50_ms: float
    p99_ms: float
    max_ms: float
    histogram: str = ''


class PeerCounters(msgspec.Struct, frozen=True, kw_only=True):
    """Messages exchanged with peers since the start."""

    sent_messages: int = 0
    received_messages: int = 0
    dropped_messages: int = 0
    malformed_messages: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0


class DaemonStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The whole status document of one daemon.

    ``state`` is ``starting``, ``serving``, ``draining`` or ``stopped``.
    """

    instance_id: str
    daemon_id: str
    zone: str
    region: str
    state: str
    uptime_s: float
    members: tuple[MemberStatus, ...] = ()
    files: tuple[FileStatus, ...] = ()
    services: tuple[ServiceStatus, ...] = ()
    outcomes: tuple[OutcomeCount, ...] = ()
    latencies: tuple[LatencySummary, ...] = ()
    peers: PeerCounters = PeerCounters()


def encode(document: DaemonStatus) -> bytes:
    """Return the JSON form of ``document``."""
    return msgspec.json.encode(document)


def decode(text: bytes) -> DaemonStatus:
    """Read the JSON form back.

    Fields this version does not know are passed over, so that a tool can read
    a newer daemon. Raises ``msgspec.DecodeError`` on anything malformed.
    """
    return msgspec.json.decode(text, type=DaemonStatus)
