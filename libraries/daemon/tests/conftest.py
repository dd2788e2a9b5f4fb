"""Connects the exchanges of a few daemons over an in-memory network."""

import random

import pytest

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.daemon.internal import (
    group_exchange,
    group_messages,
    own_services,
    quarantine_exchange,
    service_parts,
    target_directory,
    target_notices,
)
from sardinepier.gateway import service_runtimes
from sardinepier.membership import members
from sardinepier.once import quarantine
from sardinepier.settings import model, parsing
from sardinepier.wire import memory_network, messages

_FLEET = '[fleet]\nname = f\n[zone north]\nregion = metro\n'
_SERVICE = """
[service]
name = deposits
group_daemons_per_zone = {per_zone}
[shed-reply]
status = 503
header_name = Shed
header_value = not-run
[route register]
method = POST
path = /deposits
idempotent = no
deadline_ms = 4000
"""
_TARGET = """
[target t{number}]
ip = 10.0.0.{number}
port = 80
zone = north
slots = 3
"""


class _View:
    """A fixed view of a few members in one zone."""

    def __init__(self, own, all_members):
        self.own = own
        self.version = 1
        self.all_members = tuple(all_members)

    def change(self, all_members):
        self.all_members = all_members
        self.version += 1

    def members(self):
        return self.all_members

    def serving(self):
        return self.all_members

    def find(self, instance_id):
        return next(
            (
                member
                for member in self.all_members
                if member.instance_id == instance_id
            ),
            None,
        )


def _member(number):
    return members.Member(
        instance_id=ids.InstanceId(f'd{number}~{number:016x}'),
        daemon_id=ids.DaemonId(f'd{number}'),
        zone='north',
        region='metro',
        peer_address=messages.PeerAddress('10.1.0.1', 1000 + number),
        http_ip='10.1.0.1',
        http_port=2000 + number,
        incarnation=0,
        state=members.MemberState.ALIVE,
        started_at_s=0.0,
    )


class _Daemon:
    """The exchange of one daemon, with real services and a fake network."""

    def __init__(self, hub, clock, own, all_members, configuration):
        self.own = own
        sender = messages.Sender(own.instance_id, own.peer_address)
        network = hub.network(sender)
        self.services = service_runtimes.ServiceRuntimes(
            service_parts.runtime_parts(
                own.instance_id, clock, random.Random(1), lambda event: None
            ),
        )
        self.services.update(configuration)
        self.configuration = configuration
        view = _View(own, all_members)
        self.view = view
        directory = target_directory.TargetDirectory()
        self.quarantine = quarantine.Quarantine(clock)
        group_services = own_services.OwnServices(
            view, self.services, directory, lambda: configuration, clock
        )
        self.exchange = group_exchange.GroupExchange(
            group_services, network, self.services, directory, clock
        )
        self.marks = quarantine_exchange.QuarantineExchange(
            group_services, network, self.services, self.quarantine, clock
        )
        self.notices = target_notices.TargetNoticeExchange(
            view, network, self.services, directory, lambda: configuration
        )

    @property
    def health(self):
        return self.services.get('deposits').health


class Fleet:
    def __init__(self, daemons, per_zone, targets_count=3):
        self.clock = clocks.ManualClock()
        self.hub = memory_network.MemoryHub(
            group_messages.KINDS, self.clock, random.Random(1)
        )
        text = _SERVICE.format(per_zone=per_zone) + ''.join(
            _TARGET.format(number=number)
            for number in range(1, targets_count + 1)
        )
        configuration = _configuration(text)
        all_members = [_member(number) for number in range(daemons)]
        self.daemons = [
            _Daemon(self.hub, self.clock, own, all_members, configuration)
            for own in all_members
        ]

    def run(self, ticks):
        for _ in range(ticks):
            self.clock.advance(0.1)
            for daemon in self.daemons:
                daemon.services.tick()
                daemon.exchange.tick()
                daemon.marks.tick()
            self.hub.deliver()


def _configuration(service_text):
    fleet = parsing.parse_fleet(_FLEET, 'fleet')
    service = parsing.parse_service(service_text, 'service/deposits')
    return model.Configuration(fleet, {service.name: service}, {})


@pytest.fixture
def make_fleet():
    """Return the class that connects a few daemons of one service."""
    return Fleet
