"""The schema of all sections: keys, types, defaults and meanings.

Defaults are defined only here. The text under a key is its meaning in the
operators' reference, see ``sardinepier.settings.reference``.
"""

from typing import Final

import pydantic

from sardinepier.settings import model
from sardinepier.settings.internal import (
    address_types,
    number_types,
    text_types,
)


# Defaults that mean "the same as the daemon's own". They are invalid in a
# file; pydantic doesn't validate defaults.
OWN_IP: Final = ''
OWN_PORT: Final = 0


class Section(pydantic.BaseModel):
    """Base of all sections. Unknown keys are rejected."""

    model_config = pydantic.ConfigDict(
        extra='forbid',
        frozen=True,
        use_attribute_docstrings=True,
    )


class FleetSection(Section):
    """What all daemons of the fleet share."""

    name: text_types.Name
    """The name of the fleet, shown in logs and in the status."""

    caller_header: text_types.HeaderName = 'Sardinepier-Caller'
    """The request header that names the caller, for limits a caller."""

    addresses_per_answer: number_types.SmallCount = 3
    """How many addresses a caller gets when it asks for some."""

    addresses_valid_s: number_types.Seconds = 30.0
    """How long a caller may keep the addresses that it got."""

    ticket_epoch_s: number_types.Seconds = 30.0
    """The length of the epochs in which a daemon counts a ticket's age."""

    ticket_valid_epochs: number_types.Count = 10
    """For how many epochs a ticket admits new non-idempotent requests."""

    record_capacity: number_types.Count = 100_000
    """How many non-idempotent requests a daemon remembers at most."""

    record_capacity_bytes: number_types.TableBytes = 33_554_432
    """How much memory their recorded answers take at most."""

    heartbeat_interval_ms: number_types.Milliseconds = 1000
    """The time between two heartbeats to each monitored peer."""

    monitored_peers: number_types.SmallCount = 4
    """How many peers each daemon monitors, whatever the size of the fleet."""

    suspicion_timeout_ms: number_types.Milliseconds = 5000
    """How long a suspected daemon has to refute the suspicion."""

    wake_gap_ms: number_types.Milliseconds = 500
    """A daemon that stood still for longer takes itself for paused."""

    configuration_watchers_per_zone: number_types.SmallCount = 2
    """How many daemons of a zone keep a watch open at the platform."""

    platform_reads_per_s: number_types.Rate = 5.0
    """How many calls a second one daemon makes to the platform at most."""

    shutdown_grace_s: number_types.Seconds = 60.0
    """How long a daemon that stops goes on serving before it ends."""


class ZoneSection(Section):
    """An availability zone. The title carries its name."""

    region: text_types.Name
    """The region to which the zone belongs."""


class ServiceSection(Section):
    """What holds for the service as a whole."""

    name: text_types.ServiceNameText
    """The name of the service: the first segment of a request's path."""

    draining_header: text_types.HeaderName = 'Draining'
    """A target that sends this header, with any value, is leaving."""

    limit_header: text_types.HeaderName = 'Request-Limit'
    """By this header a target tells how many requests a second it takes from
    all daemons together, for as long as it sends it."""

    health_path: text_types.PlainPath = '/health'
    """The path that a probe asks a target for."""

    probe_interval_ms: number_types.Milliseconds = 1000
    """The time between two probes of one target."""

    floor_percent: number_types.Percent = 60.0
    """The share of slots that ejections must leave in service."""

    false_ejections_per_target_day: number_types.Rate = 0.05
    """How many false ejections a target may suffer a day. Less means slower
    detection."""

    group_daemons_per_zone: number_types.SmallCount = 1
    """How many daemons of each zone serve and judge this service."""

    queue_length: number_types.Count = 64
    """How many requests wait for a slot on one daemon at most."""

    connections_per_target: number_types.ConnectionCount = 32
    """How many connections one daemon opens to one target at most."""

    connect_timeout_ms: number_types.Milliseconds = 250
    """How long a new connection to a target may take."""

    retry_budget_percent: number_types.Percent = 10.0
    """The share of requests that may be sent a second time after a failure."""

    hedge_budget_percent: number_types.Percent = 2.0
    """The share of requests that may be sent to a second target early."""

    caller_requests_per_s: number_types.Rate = 50.0
    """How many requests a second one caller may send to one daemon."""

    caller_burst_requests: number_types.Count = 100
    """How many requests a caller may send at once after a pause."""

    request_body_limit_bytes: number_types.BufferBytes = 1_048_576
    """The largest request body that is taken."""

    answer_buffer_limit_bytes: number_types.BufferBytes = 1_048_576
    """Answers up to this size are checked whole before they are passed on, while the
    daemon has memory for them."""


class ShedReplySection(Section):
    """The reply by which a target says that it did not run a request.

    A target must send it only when nothing of the request was run: the
    request may then run elsewhere, also when it is not idempotent.
    """

    status: number_types.ErrorStatus
    """The status of the reply."""

    header_name: text_types.HeaderName
    """The header that marks the reply."""

    header_value: text_types.HeaderValue
    """The exact value of that header."""


class TargetSection(Section):
    """One worker of the service. The title carries its name."""

    ip: address_types.IpAddress
    """The address of the target."""

    port: number_types.PortNumber
    """The port of the target."""

    zone: text_types.Name
    """The availability zone of the target, as the fleet file names it."""

    slots: number_types.Count
    """How many requests the target works on at a time."""


class RouteSection(Section):
    """One kind of request. The title carries its name."""

    method: text_types.Method
    """The method of the request."""

    path: text_types.PathTemplate
    """The path below the service's name."""

    idempotent: text_types.Switch
    """Whether the request may run more than once without harm."""

    priority: text_types.PriorityWord = model.Priority.NORMAL
    """What goes first when slots are short."""

    deadline_ms: number_types.Milliseconds
    """How long the request may take from its arrival to its answer."""

    hedged: text_types.Switch = False
    """Whether a slow request is sent to a second target as well."""


class InstanceSection(Section):
    """What one daemon must know before it can ask anybody."""

    daemon_id: text_types.DaemonName
    """The name of the daemon. It survives a restart and is unique."""

    zone: text_types.Name
    """The availability zone in which the daemon runs."""

    region: text_types.Name
    """The region of that zone."""

    address_ip: address_types.IpAddress
    """The address at which callers and peers reach the daemon."""

    http_port: number_types.PortNumber
    """The port for callers and operators."""

    peer_port: number_types.PortNumber
    """The port for messages from other daemons."""

    platform_urls: address_types.Urls
    """The base URLs of the platform. Each is as good as the others."""

    seeds: address_types.Seeds = ()
    """Where to look for a first peer. The platform names others."""

    advertised_peer_ip: address_types.IpAddress = OWN_IP
    """The address that peers are told, when it differs from the own."""

    advertised_peer_port: number_types.PortNumber = OWN_PORT
    """The port that peers are told, when it differs from the own."""

    log_level: text_types.LogLevel = 'INFO'
    """The lowest level of log lines that are written."""
