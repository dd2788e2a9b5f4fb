"""What each section of each file may hold: keys, types, defaults, meanings.

This is the one place where defaults are stated. The text under a key is its
meaning in the reference for operators, see ``sardinepier.settings.reference``.
"""

from typing import Final

import pydantic

from sardinepier.settings import model
from sardinepier.settings.internal import addresses, numbers, words


# Defaults that stand for "the same as the daemon's own". They lie outside
# what a file may hold, and are not checked.
OWN_IP: Final = ''
OWN_PORT: Final = 0


class Section(pydantic.BaseModel):
    """A section of any file. Unknown keys are refused."""

    model_config = pydantic.ConfigDict(
        extra='forbid',
        frozen=True,
        use_attribute_docstrings=True,
    )


class FleetSection(Section):
    """What all daemons of the fleet share."""

    name: words.Name
    """The name of the fleet, shown in logs and in the status."""

    caller_header: words.HeaderName = 'Sardinepier-Caller'
    """The request header that names the caller, for limits a caller."""

    addresses_per_answer: numbers.SmallCount = 3
    """How many addresses a caller gets when it asks for some."""

    addresses_valid_s: numbers.Seconds = 30.0
    """How long a caller may keep the addresses that it got."""

    ticket_epoch_s: numbers.Seconds = 30.0
    """The length of the epochs in which a daemon counts a ticket's age."""

    ticket_valid_epochs: numbers.Count = 10
    """For how many epochs a ticket admits new non-idempotent requests."""

    record_capacity: numbers.Count = 100_000
    """How many non-idempotent requests a daemon remembers at most."""

    record_capacity_bytes: numbers.TableBytes = 33_554_432
    """How much memory their recorded answers take at most."""

    heartbeat_interval_ms: numbers.Milliseconds = 1000
    """The time between two heartbeats to each monitored peer."""

    monitored_peers: numbers.SmallCount = 4
    """How many peers each daemon monitors, whatever the size of the fleet."""

    suspicion_timeout_ms: numbers.Milliseconds = 5000
    """How long a suspected daemon has to refute the suspicion."""

    wake_gap_ms: numbers.Milliseconds = 500
    """A daemon that stood still for longer takes itself for paused."""

    configuration_watchers_per_zone: numbers.SmallCount = 2
    """How many daemons of a zone keep a watch open at the platform."""

    platform_reads_per_s: numbers.Rate = 5.0
    """How many calls a second one daemon makes to the platform at most."""

    shutdown_grace_s: numbers.Seconds = 60.0
    """How long a daemon that stops goes on serving before it ends."""


class ZoneSection(Section):
    """An availability zone. The title carries its name."""

    region: words.Name
    """The region to which the zone belongs."""


class ServiceSection(Section):
    """What holds for the service as a whole."""

    name: words.ServiceNameText
    """The name of the service: the first segment of a request's path."""

    draining_header: words.HeaderName = 'Draining'
    """A target that sends this header, with any value, is leaving."""

    limit_header: words.HeaderName = 'Request-Limit'
    """By this header a target tells how many requests a second it takes from
    all daemons together, for as long as it sends it."""

    health_path: words.PlainPath = '/health'
    """The path that a probe asks a target for."""

    probe_interval_ms: numbers.Milliseconds = 1000
    """The time between two probes of one target."""

    floor_percent: numbers.Percent = 60.0
    """The share of slots that ejections must leave in service."""

    false_ejections_per_target_day: numbers.Rate = 0.05
    """How many false ejections a target may suffer a day. Less means slower
    detection."""

    group_daemons_per_zone: numbers.SmallCount = 1
    """How many daemons of each zone serve and judge this service."""

    queue_length: numbers.Count = 64
    """How many requests wait for a slot on one daemon at most."""

    connections_per_target: numbers.ConnectionCount = 32
    """How many connections one daemon opens to one target at most."""

    connect_timeout_ms: numbers.Milliseconds = 250
    """How long a new connection to a target may take."""

    retry_budget_percent: numbers.Percent = 10.0
    """The share of requests that may be sent a second time after a failure."""

    hedge_budget_percent: numbers.Percent = 2.0
    """The share of requests that may be sent to a second target early."""

    caller_requests_per_s: numbers.Rate = 50.0
    """How many requests a second one caller may send to one daemon."""

    caller_burst_requests: numbers.Count = 100
    """How many requests a caller may send at once after a pause."""

    request_body_limit_bytes: numbers.BufferBytes = 1_048_576
    """The largest request body that is taken."""

    answer_buffer_limit_bytes: numbers.BufferBytes = 1_048_576
    """Answers up to this size are checked whole before they are passed on."""


class ShedReplySection(Section):
    """The reply by which a target says that it did not run a request.

    A target must send it only when nothing of the request was run: the
    request may then run elsewhere, also when it is not idempotent.
    """

    status: numbers.ErrorStatus
    """The status of the reply."""

    header_name: words.HeaderName
    """The header that marks the reply."""

    header_value: words.HeaderValue
    """The exact value of that header."""


class TargetSection(Section):
    """One worker of the service. The title carries its name."""

    ip: addresses.IpAddress
    """The address of the target."""

    port: numbers.PortNumber
    """The port of the target."""

    zone: words.Name
    """The availability zone of the target, as the fleet file names it."""

    slots: numbers.Count
    """How many requests the target works on at a time."""


class RouteSection(Section):
    """One kind of request. The title carries its name."""

    method: words.Method
    """The method of the request."""

    path: words.PathTemplate
    """The path below the service's name."""

    idempotent: words.Switch
    """Whether the request may run more than once without harm."""

    priority: words.PriorityWord = model.Priority.NORMAL
    """What goes first when slots are short."""

    deadline_ms: numbers.Milliseconds
    """How long the request may take from its arrival to its answer."""

    hedged: words.Switch = False
    """Whether a slow request is sent to a second target as well."""


class InstanceSection(Section):
    """What one daemon must know before it can ask anybody."""

    daemon_id: words.DaemonName
    """The name of the daemon. It survives a restart and is unique."""

    zone: words.Name
    """The availability zone in which the daemon runs."""

    region: words.Name
    """The region of that zone."""

    address_ip: addresses.IpAddress
    """The address at which callers and peers reach the daemon."""

    http_port: numbers.PortNumber
    """The port for callers and operators."""

    peer_port: numbers.PortNumber
    """The port for messages from other daemons."""

    platform_urls: addresses.Urls
    """The base URLs of the platform. Each is as good as the others."""

    seeds: addresses.Seeds = ()
    """Where to look for a first peer. The platform names others."""

    advertised_peer_ip: addresses.IpAddress = OWN_IP
    """The address that peers are told, when it differs from the own."""

    advertised_peer_port: numbers.PortNumber = OWN_PORT
    """The port that peers are told, when it differs from the own."""

    log_level: words.LogLevel = 'INFO'
    """The lowest level of log lines that are written."""
