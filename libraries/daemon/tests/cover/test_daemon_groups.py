"""The exchange among the daemons of a group, and its cost."""

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


def test_a_leaving_target_stays_unselectable_in_the_whole_group(make_fleet):
    fleet = make_fleet(daemons=4, per_zone=4)
    fleet.run(20)
    leaving = _listed('t1', 'a', interface.ListedState.LEAVING)
    first = fleet.daemons[0].notices
    first.on_instances(interface.InstanceList(targets=(_listed('t1', 'a'),)))
    fleet.run(2)
    first.on_instances(interface.InstanceList(targets=(leaving,)))
    fleet.run(2)
    stale = interface.InstanceList(targets=(_listed('t1', 'a'),))
    fleet.daemons[1].notices.on_instances(stale)
    fleet.run(2)
    for daemon in fleet.daemons:
        assert 't1' not in daemon.health.selectable()


def test_requests_in_flight_are_reported_to_the_group(make_fleet):
    fleet = make_fleet(daemons=3, per_zone=3)
    fleet.run(20)
    observer = fleet.daemons[0]
    for attempt in range(3):
        observer.health.started('t1', 'register', attempt)
    fleet.run(10)
    reported = [
        daemon.health.standing('t1').peers_in_flight
        for daemon in fleet.daemons[1:]
    ]
    assert reported == [3, 3]


def test_a_guest_and_the_group_exchange_reports(make_fleet):
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


def test_quarantine_marks_reach_the_group_at_once(make_fleet):
    fleet = make_fleet(daemons=2, per_zone=2)
    fleet.run(20)
    first, second = fleet.daemons
    first.quarantine.crashed(7, 'deposits', 't1', target_healthy_otherwise=True)
    fleet.hub.deliver()
    second.quarantine.crashed(
        7, 'deposits', 't2', target_healthy_otherwise=True
    )
    fleet.hub.deliver()
    for daemon in fleet.daemons:
        quarantined = [
            mark.fingerprint for mark in daemon.quarantine.quarantined()
        ]
        assert quarantined == [7]


@pytest.mark.parametrize('targets_count', (3, 47))
def test_reports_stay_within_their_byte_budget(targets_count, make_fleet):
    fleet = make_fleet(daemons=6, per_zone=6, targets_count=targets_count)
    fleet.run(20)
    before = fleet.daemons[0].exchange.spent_bytes
    seconds = 60
    fleet.run(10 * seconds)
    spent = fleet.daemons[0].exchange.spent_bytes - before
    assert spent <= 12_000 * seconds + 96_000


def test_a_report_about_an_unknown_service_changes_no_target_state(make_fleet):
    fleet = make_fleet(daemons=2, per_zone=2)
    fleet.run(20)
    first, second = fleet.daemons
    report = evidence.EvidenceReport(1, False, (), (), ())
    sender = messages.Sender(first.own.instance_id, first.own.peer_address)
    message = report_codec.ReportWriter().write('no-such-service', report, 0)
    second.exchange.receive_report(sender, message)
    states = {target_status.state for target_status in second.health.status()}
    assert states == {targets.TargetState.IN_SERVICE}


def _recorded_groups(daemon):
    """Record the groups among which the service's slots are divided."""
    seen = []
    slots = daemon.services.get('deposits').slots
    slots.set_group = lambda peers, own: seen.append((peers, own))
    return seen


def test_slots_are_divided_among_the_group_and_not_among_guests(make_fleet):
    fleet = make_fleet(daemons=3, per_zone=2)
    fleet.run(20)
    group = {
        daemon.own.instance_id
        for daemon in fleet.daemons
        if tuple(daemon.services)
    }
    guest = next(
        daemon for daemon in fleet.daemons if not tuple(daemon.services)
    )
    groups_of_members = [
        _recorded_groups(daemon)
        for daemon in fleet.daemons
        if daemon is not guest
    ]
    groups_of_guest = _recorded_groups(guest)
    guest.health.started('t1', 'register', 1)
    fleet.run(20)
    assert groups_of_guest == [(group, None)]
    assert groups_of_members == [[], []]


def test_a_service_published_again_has_its_slots_divided_again(make_fleet):
    fleet = make_fleet(daemons=2, per_zone=2)
    fleet.run(20)
    first, second = fleet.daemons
    without_services = model.Configuration(first.configuration.fleet, {}, {})
    first.services.update(without_services)
    first.services.update(first.configuration)
    seen = _recorded_groups(first)
    fleet.run(20)
    peers = frozenset((second.own.instance_id,))
    assert seen == [(peers, first.own.instance_id)]


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
    # The default probe interval is one second for each target.
    assert probes == pytest.approx(5 * seconds, rel=0.15)


def test_a_list_of_daemons_alone_does_not_affect_targets(make_fleet):
    fleet = make_fleet(daemons=2, per_zone=2)
    fleet.run(20)
    notices = fleet.daemons[0].notices
    targets_listed = interface.InstanceList(targets=(_listed('t1', 'a'),))
    notices.on_instances(targets_listed)
    fleet.run(2)
    received = []
    fleet.daemons[1].notices.apply = received.append
    notices.on_instances(interface.InstanceList(share=shares.DAEMONS))
    notices.on_instances(targets_listed)
    fleet.run(5)
    assert not received


def test_slots_of_peers_without_requests_can_always_be_borrowed(make_fleet):
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
