"""What the daemons of a group learn from each other, and at what cost."""

import pytest

from sardinepier.daemon.internal import (
    report_codec,
)
from sardinepier.health import evidence, targets
from sardinepier.platform import interface, shares
from sardinepier.settings import model
from sardinepier.wire import messages


def _listed(target_id, incarnation, state=interface.ListedState.LIVE):
    return interface.ListedTarget('deposits', target_id, incarnation, state)


def test_a_leaving_mark_reaches_the_group_and_stays(make_fleet):
    fleet = make_fleet(daemons=4, per_zone=4)
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


def test_what_one_daemon_sees_the_others_learn(make_fleet):
    fleet = make_fleet(daemons=3, per_zone=3)
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


def test_a_guest_and_the_group_hear_each_other(make_fleet):
    fleet = make_fleet(daemons=4, per_zone=2)
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


def test_marks_of_crashing_requests_reach_the_group_at_once(make_fleet):
    fleet = make_fleet(daemons=2, per_zone=2)
    fleet.run(20)
    first, second = fleet.daemons
    first.quarantine.crashed(7, 't1', target_healthy_otherwise=True)
    fleet.hub.deliver()
    second.quarantine.crashed(7, 't2', target_healthy_otherwise=True)
    fleet.hub.deliver()
    for daemon in fleet.daemons:
        held = [mark.fingerprint for mark in daemon.quarantine.quarantined()]
        assert held == [7]


@pytest.mark.parametrize('targets_count', (3, 47))
def test_reports_stay_within_their_budget_of_bytes(targets_count, make_fleet):
    fleet = make_fleet(daemons=6, per_zone=6, targets_count=targets_count)
    fleet.run(20)
    before = fleet.daemons[0].exchange.spent_bytes
    seconds = 60
    fleet.run(10 * seconds)
    spent = fleet.daemons[0].exchange.spent_bytes - before
    assert spent <= 12_000 * seconds + 96_000


def test_a_target_state_is_never_changed_by_an_unknown_service(make_fleet):
    fleet = make_fleet(daemons=2, per_zone=2)
    fleet.run(20)
    first, second = fleet.daemons
    report = evidence.EvidenceReport(1, False, (), (), ())
    sender = messages.Sender(first.own.instance_id, first.own.peer_address)
    message = report_codec.ReportWriter().write('no-such-service', report, 0)
    second.exchange.receive_report(sender, message)
    states = {one.state for one in second.health.status()}
    assert states == {targets.TargetState.IN_SERVICE}


def _recorded_groups(daemon):
    """Note from now on among whom the slots of the service are dealt."""
    seen = []
    slots = daemon.services.get('deposits').slots
    slots.set_group = lambda others, own: seen.append((others, own))
    return seen


def test_slots_are_dealt_among_the_group_and_not_among_guests(make_fleet):
    fleet = make_fleet(daemons=3, per_zone=2)
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


def test_a_service_published_again_has_its_slots_dealt_again(make_fleet):
    fleet = make_fleet(daemons=2, per_zone=2)
    fleet.run(20)
    first, second = fleet.daemons
    without = model.Configuration(first.configuration.fleet, {}, {})
    first.services.update(without)
    first.services.update(first.configuration)
    seen = _recorded_groups(first)
    fleet.run(20)
    others = frozenset((second.own.instance_id,))
    assert seen == [(others, first.own.instance_id)]


def test_a_group_shares_the_probes_of_its_targets(make_fleet):
    fleet = make_fleet(daemons=4, per_zone=4, targets_count=5)
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


def test_a_list_of_daemons_alone_tells_nothing_about_targets(make_fleet):
    fleet = make_fleet(daemons=2, per_zone=2)
    fleet.run(20)
    noticer = fleet.daemons[0].noticer
    targets_listed = interface.InstanceList(targets=(_listed('t1', 'a'),))
    noticer.on_instances(targets_listed)
    fleet.run(2)
    told = []
    fleet.daemons[1].noticer.apply = told.append
    noticer.on_instances(interface.InstanceList(share=shares.DAEMONS))
    noticer.on_instances(targets_listed)
    fleet.run(5)
    assert not told


def test_slots_of_quiet_peers_can_be_borrowed_at_any_moment(make_fleet):
    fleet = make_fleet(daemons=3, per_zone=3, targets_count=4)
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
