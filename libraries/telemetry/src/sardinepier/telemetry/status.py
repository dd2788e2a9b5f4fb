"""The status document of one daemon.

The daemon serves it at ``GET /v1/status``, and the command-line tool reads
it. All fields show the view of this daemon; two daemons may differ.
"""

import msgspec
from sardinepier.telemetry import quantities


class MemberStatus(msgspec.Struct, frozen=True, kw_only=True):
    """One daemon of the fleet as the answering daemon sees it.

    ``state`` is ``alive``, ``suspect``, ``leaving`` or ``dead``.
    """

    instance_id: str
    daemon_id: str
    zone: str
    region: str
    state: str
    incarnation: int


class FileStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A published file: the revision in force and errors in a newer one.

    ``problems`` lists the errors for which a newer revision was rejected; it
    is empty while the newest known revision is in force.
    """

    name: str
    revision: int
    problems: tuple[str, ...] = ()


class TargetStatus(msgspec.Struct, frozen=True, kw_only=True):
    """One target of a service.

    ``state`` is ``cold``, ``in-service``, ``suspect``, ``ejected``,
    ``trial`` or ``leaving``; ``weight`` is between 0 and 1; ``reason`` says
    why the state is not ``in-service`` and is empty otherwise. ``evidence``
    against the target is a share of the threshold for ejection, and
    ``returns_in_s`` the remaining time of an ejection, None if not ejected.
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
    """Requests of a service with one outcome since the daemon started.

    ``outcome`` is a value of ``sardinepier.core.outcomes.Outcome``.
    """

    service: str
    outcome: str
    requests: int


class LatencySummary(msgspec.Struct, frozen=True, kw_only=True):
    """The distribution of one histogram, in milliseconds.

    ``histogram`` is the encoded histogram, so that a reader can merge the
    histograms of many daemons; averaged quantiles would be wrong.
    """

    name: str
    service: str
    requests: int
    p50_ms: float
    p99_ms: float
    max_ms: float
    histogram: str = ''


class PeerCounters(msgspec.Struct, frozen=True, kw_only=True):
    """Messages exchanged with peers since the daemon started."""

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
    """Return the status document from its JSON form.

    Unknown fields are ignored, so that a tool can read the status of a newer
    daemon. Raises ``msgspec.DecodeError`` on malformed input.
    """
    return msgspec.json.decode(text, type=DaemonStatus)
