"""Validated, immutable content of settings files.

One object holds one whole file. A new version of a file replaces the object
as a whole, and a request keeps using the object with which it started.
"""

import dataclasses
import enum
from collections.abc import Mapping

from sardinepier.core import ids


class Priority(enum.IntEnum):
    """The order in which waiting requests of a service get free slots."""

    HIGH = 0
    NORMAL = 1
    LOW = 2


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSeed:
    """The address of a peer that a starting daemon contacts first."""

    ip: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceSettings:
    """The file of one daemon: what it needs before it reads the platform."""

    daemon_id: ids.DaemonId
    zone: ids.ZoneName
    region: ids.RegionName
    address_ip: str
    http_port: int
    peer_port: int
    platform_urls: tuple[str, ...]
    seeds: tuple[PeerSeed, ...]
    advertised_peer_ip: str
    advertised_peer_port: int
    log_level: str


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneSettings:
    """An availability zone and the region it belongs to."""

    name: ids.ZoneName
    region: ids.RegionName


@dataclasses.dataclass(frozen=True, slots=True)
class FleetSettings:
    """The ``fleet`` file: settings shared by all daemons."""

    name: str
    zones: tuple[ZoneSettings, ...]
    caller_header: str
    addresses_per_answer: int
    addresses_valid_s: float
    ticket_epoch_s: float
    ticket_valid_epochs: int
    record_capacity: int
    record_capacity_bytes: int
    heartbeat_interval_ms: int
    monitored_peers: int
    suspicion_timeout_ms: int
    wake_gap_ms: int
    configuration_watchers_per_zone: int
    platform_reads_per_s: float
    shutdown_grace_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class TargetSettings:
    """One target of a service."""

    target_id: ids.TargetId
    ip: str
    port: int
    zone: ids.ZoneName
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class RouteSettings:
    """One route: a method and a path template, with its request options.

    ``path`` may have ``{name}`` segments, each matching one path segment.
    """

    name: ids.RouteName
    method: str
    path: str
    idempotent: bool
    priority: Priority
    deadline_ms: int
    hedged: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ShedReply:
    """The reply of a target that rejected a request without running it.

    A reply matches when its status equals ``status`` and its header
    ``header_name`` equals ``header_value``.
    """

    status: int
    header_name: str
    header_value: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSettings:
    """The ``service/<name>`` file: one service with its targets and routes."""

    name: ids.ServiceName
    targets: tuple[TargetSettings, ...]
    routes: tuple[RouteSettings, ...]
    shed_reply: ShedReply
    draining_header: str
    limit_header: str
    health_path: str
    probe_interval_ms: int
    floor_percent: float
    false_ejections_per_target_day: float
    group_daemons_per_zone: int
    queue_length: int
    connections_per_target: int
    connect_timeout_ms: int
    retry_budget_percent: float
    hedge_budget_percent: float
    caller_requests_per_s: float
    caller_burst_requests: int
    request_body_limit_bytes: int
    answer_buffer_limit_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """All files in force at one moment, with their revisions."""

    fleet: FleetSettings
    services: Mapping[ids.ServiceName, ServiceSettings]
    revisions: Mapping[ids.FileName, ids.Revision]
