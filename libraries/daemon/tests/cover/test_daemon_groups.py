"""What the daemons of a group learn from each other, and at what cost."""

import random

import pytest

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.daemon.internal import (
    group_messages,
    groups,
    own_services,
    quarantine_exchange,
    report_codec,
    service_parts,
    target_directory,
    target_notices,
)
from sardinepier.gateway import service_runtimes
from sardinepier.health import evidence, targets
from sardinepier.membership import groups as membership_groups
from sardinepier.membership import members
from sardinepier.once import quarantine
from sardinepier.platform import interface, shares
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

    def __init__(self, own, everyone):
        self.own = own
        self.version = 1
        self.everyone = tuple(everyone)

    def change(self, everyone):
        self.everyone = everyone
        self.version += 1

    def members(self):
        return self.everyone

    def serving(self):
        return self.everyone

    def find(self, instance_id):
        return next(
            (one for one in self.everyone if one.instance_id == instance_id),
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
    """The exchange of one daemon with real services and a fake network."""

    def __init__(self, hub, clock, own, everyone, configuration):
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
        view = _View(own, everyone)
        self.view = view
        directory = target_directory.TargetDirectory()
        self.quarantine = quarantine.Quarantine(clock)
        owned = own_services.OwnServices(
            view, self.services, directory, lambda: configuration, clock
        )
        self.exchange = groups.GroupExchange(
            owned, network, self.services, directory, clock
        )
        self.marks = quarantine_exchange.QuarantineExchange(
            owned, network, self.services, self.quarantine, clock
        )
        self.noticer = target_notices.TargetNoticer(
            view, network, self.services, directory, lambda: configuration
        )

    @property
    def health(self):
        return self.services.get('deposits').health


class _Fleet:
    def __init__(self, daemons, per_zone, targets_count=3):
        self.clock = clocks.ManualClock()
        self.hub = memory_network.MemoryHub(
            group_messages.KINDS, self.clock, random.Random(1)
        )
        text = _SERVICE.format(per_zone=per_zone) + ''.join(
            _TARGET.format(number=number)
            for number in range(1, targets_count + 1)
        )
        store = _configuration(text)
        everyone = [_member(number) for number in range(daemons)]
        self.daemons = [
            _Daemon(self.hub, self.clock, own, everyone, store)
            for own in everyone
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


def _listed(target_id, incarnation, state=interface.ListedState.LIVE):
    return interface.ListedTarget('deposits', target_id, incarnation, state)


def test_a_leaving_mark_reaches_the_group_and_stays():
    fleet = _Fleet(daemons=4, per_zone=4)
    fleet.run(20)
    leaving = _listed('t1', 'a', interface.ListedState.LEAVING)
    first = fleet.daemons[0].noticer
    first.on_instances(interface.InstanceList(targets=(_listed('t1', 'a'),)))
    fleet.run(2)
    first.on_instances(interface.InstanceList(targets=(leaving,)))
    fleet.run(2)
    stale = interface.InstanceList(targets=(_listed('t1', 'a'),))
    fleet.daemons[1].noticer.on_instances(stale)
    fleet.run(2)
    for daemon in fleet.daemons:
        assert 't1' not in daemon.health.selectable()


def test_what_one_daemon_sees_the_others_learn():
    fleet = _Fleet(daemons=3, per_zone=3)
    fleet.run(20)
    witness = fleet.daemons[0]
    for attempt in range(3):
        witness.health.started('t1', 'register', attempt)
    fleet.run(10)
    others = [
        daemon.health.standing('t1').peers_in_flight
        for daemon in fleet.daemons[1:]
    ]
    assert others == [3, 3]


def test_a_guest_and_the_group_hear_each_other():
    fleet = _Fleet(daemons=4, per_zone=2)
    fleet.run(20)
    guest = next(
        daemon for daemon in fleet.daemons if not tuple(daemon.services)
    )
    guest.health.started('t1', 'register', 1)
    fleet.run(15)
    in_group = [
        daemon
        for daemon in fleet.daemons
        if daemon is not guest and list(daemon.services)
    ]
    assert len(in_group) == 2
    for daemon in in_group:
        assert daemon.health.standing('t1').peers_in_flight == 1
        assert guest.own.instance_id in daemon.exchange.guests('deposits')


def test_marks_of_crashing_requests_reach_the_group_at_once():
    fleet = _Fleet(daemons=2, per_zone=2)
    fleet.run(20)
    first, second = fleet.daemons
    first.quarantine.crashed(7, 't1', target_healthy_otherwise=True)
    fleet.hub.deliver()
    second.quarantine.crashed(7, 't2', target_healthy_otherwise=True)
    fleet.hub.deliver()
    for daemon in fleet.daemons:
        held = [mark.fingerprint for mark in daemon.quarantine.held()]
        assert held == [7]


@pytest.mark.parametrize('targets_count', (3, 47))
def test_reports_stay_within_their_budget_of_bytes(targets_count):
    fleet = _Fleet(daemons=6, per_zone=6, targets_count=targets_count)
    fleet.run(20)
    before = fleet.daemons[0].exchange.spent_bytes
    seconds = 60
    fleet.run(10 * seconds)
    spent = fleet.daemons[0].exchange.spent_bytes - before
    assert spent <= 12_000 * seconds + 96_000


def test_a_target_state_is_never_changed_by_an_unknown_service():
    fleet = _Fleet(daemons=2, per_zone=2)
    fleet.run(20)
    first, second = fleet.daemons
    report = evidence.EvidenceReport(1, False, (), (), ())
    sender = messages.Sender(first.own.instance_id, first.own.peer_address)
    message = report_codec.ReportWriter().write('no-such-service', report, 0)
    second.exchange.take_report(sender, message)
    states = {one.state for one in second.health.status()}
    assert states == {targets.TargetState.IN_SERVICE}


def _recorded_groups(daemon):
    """Note from now on among whom the slots of the service are dealt."""
    seen = []
    slots = daemon.services.get('deposits').slots
    slots.set_group = lambda others, own: seen.append((others, own))
    return seen


def test_slots_are_dealt_among_the_group_and_not_among_guests():
    fleet = _Fleet(daemons=3, per_zone=2)
    fleet.run(20)
    group = {
        one.own.instance_id for one in fleet.daemons if tuple(one.services)
    }
    guest = next(one for one in fleet.daemons if not tuple(one.services))
    members_see = [
        _recorded_groups(one) for one in fleet.daemons if one is not guest
    ]
    guest_sees = _recorded_groups(guest)
    guest.health.started('t1', 'register', 1)
    fleet.run(20)
    assert guest_sees == [(group, None)]
    assert members_see == [[], []]


def test_a_service_published_again_has_its_slots_dealt_again():
    fleet = _Fleet(daemons=2, per_zone=2)
    fleet.run(20)
    first, second = fleet.daemons
    without = model.Configuration(first.configuration.fleet, {}, {})
    first.services.update(without)
    first.services.update(first.configuration)
    seen = _recorded_groups(first)
    fleet.run(20)
    others = frozenset((second.own.instance_id,))
    assert seen == [(others, first.own.instance_id)]


def test_a_service_that_is_not_ours_is_dropped_when_unused():
    fleet = _Fleet(daemons=3, per_zone=2)
    fleet.run(20)
    guest = next(one for one in fleet.daemons if not tuple(one.services))
    guest.services.get('deposits')
    fleet.run(300)
    assert tuple(guest.services)
    fleet.run(700)
    assert [len(tuple(one.services)) for one in fleet.daemons].count(1) == 2
    assert not tuple(guest.services)


def test_a_group_shares_the_probes_of_its_targets():
    fleet = _Fleet(daemons=4, per_zone=4, targets_count=5)
    fleet.run(50)
    seconds = 60
    probes = 0
    for _ in range(10 * seconds):
        fleet.run(1)
        probes += sum(
            len(daemon.health.due_probes()) for daemon in fleet.daemons
        )
    # The interval in the file is one second for each target.
    assert probes == pytest.approx(5 * seconds, rel=0.15)


def test_a_list_of_daemons_alone_tells_nothing_about_targets():
    fleet = _Fleet(daemons=2, per_zone=2)
    fleet.run(20)
    noticer = fleet.daemons[0].noticer
    targets_listed = interface.InstanceList(targets=(_listed('t1', 'a'),))
    noticer.on_instances(targets_listed)
    fleet.run(2)
    told = []
    fleet.daemons[1].noticer.take = told.append
    noticer.on_instances(interface.InstanceList(share=shares.DAEMONS))
    noticer.on_instances(targets_listed)
    fleet.run(5)
    assert not told


def test_slots_of_quiet_peers_can_be_borrowed_at_any_moment():
    fleet = _Fleet(daemons=3, per_zone=3, targets_count=4)
    fleet.run(60)
    runtime = fleet.daemons[0].services.get('deposits')
    counts = []
    for _ in range(40):
        fleet.run(1)
        reserved = _reserve_all(runtime)
        counts.append(len(reserved))
        for target in reserved:
            runtime.slots.release(target)
    home_share = 12 / 3
    assert min(counts) > home_share


def _reserve_all(runtime):
    reserved = []
    target = runtime.slots.reserve(runtime.chooser)
    while target is not None:
        reserved.append(target)
        target = runtime.slots.reserve(runtime.chooser)
    return reserved


def test_a_daemon_that_sees_itself_alone_at_first_takes_up_little():
    fleet = _Fleet(daemons=3, per_zone=2)
    newcomer = next(
        one for one in fleet.daemons if not _is_in_group(fleet, one)
    )
    whole = newcomer.view.everyone
    newcomer.view.change((newcomer.own,))
    fleet.run(5)
    assert not tuple(newcomer.services)
    newcomer.view.change(whole)
    fleet.run(200)
    assert not tuple(newcomer.services)


def test_a_view_that_never_stands_still_is_used_all_the_same():
    fleet = _Fleet(daemons=2, per_zone=2)
    for _ in range(70):
        fleet.run(1)
        for daemon in fleet.daemons:
            daemon.view.version += 1
    assert all(tuple(daemon.services) for daemon in fleet.daemons)


def test_a_service_taken_up_in_vain_is_given_up_soon():
    fleet = _Fleet(daemons=3, per_zone=2)
    newcomer = next(
        one for one in fleet.daemons if not _is_in_group(fleet, one)
    )
    whole = newcomer.view.everyone
    newcomer.view.change((newcomer.own,))
    fleet.run(30)
    assert tuple(newcomer.services)
    newcomer.view.change(whole)
    fleet.run(30)
    assert not tuple(newcomer.services)


def _is_in_group(fleet, daemon):
    service = daemon.configuration.services['deposits']
    group = membership_groups.service_group(daemon.view, service.name, 2)
    return daemon.own in group
