"""The rules of membership, each with a case that requires it."""

import pytest

from sardinepier.core import errors, ids
from sardinepier.membership import events, kinds, marks, members, options
from sardinepier.wire import messages

_MARK = marks.ConfigurationMark(1, 2)


def _update(name='stray-1~01', ip='10.9.9.9', **changes):
    fields = {
        'instance_id': ids.InstanceId(name),
        'zone': ids.ZoneName('zone-1'),
        'region': ids.RegionName('region-1'),
        'peer_address': messages.PeerAddress(ip, 7000),
        'http_ip': ip,
        'http_port': 8080,
        'incarnation': 0,
        'liveness': kinds.Liveness.ALIVE,
        'leaving': False,
        'age_ms': 1000,
    }
    return kinds.MemberUpdate(**{**fields, **changes})


def _send_updates(fleet, index, *updates, sender=1):
    fleet.networks[sender].send(
        fleet.address(index),
        kinds.Probe(1, fleet.running[index].own.instance_id, _MARK, updates),
    )
    fleet.hub.deliver()


def test_an_instance_replaced_at_its_address_is_dead_at_once(settled_fleet):
    fleet = settled_fleet(12)
    old = fleet.crash(3).own.instance_id
    fleet.start(3)
    fleet.tick(3)
    assert fleet.agree()
    # Well before any suspicion could have timed out.
    assert fleet.reported_by_any(events.MemberReplaced) == {old}
    assert not fleet.reported_by_any(events.MemberDied)
    stale = _update(old, fleet.address(3).ip)
    _send_updates(fleet, 0, stale)
    fleet.tick(10)
    assert fleet.agree()


def test_a_late_update_of_an_old_instance_replaces_no_new_one(settled_fleet):
    fleet = settled_fleet(6)
    address = fleet.address(3).ip
    _send_updates(fleet, 0, _update('entry-3~0ld', address, age_ms=10**8))
    fleet.tick(5)
    assert fleet.agree()
    assert not fleet.running[0].find(fleet.running[3].own.instance_id) is None


@pytest.mark.parametrize(
    'implausible',
    [
        _update('no-separator'),
        _update('~'),
        _update(ip='host.example'),
        _update(peer_address=messages.PeerAddress('10.9.9.9', 0)),
        _update(liveness=kinds.Liveness.DEAD),
    ],
)
def test_implausible_updates_change_nothing(settled_fleet, implausible):
    fleet = settled_fleet(3)
    version = fleet.running[0].version
    _send_updates(fleet, 0, implausible)
    assert fleet.running[0].version == version


def test_a_member_that_never_answers_is_removed(settled_fleet):
    fleet = settled_fleet(5)
    _send_updates(fleet, 0, _update())
    assert fleet.running[0].find(ids.InstanceId('stray-1~01'))
    fleet.tick(30)
    assert fleet.agree()


def test_updates_cannot_make_a_daemon_leave_or_exhaust_incarnations(
    settled_fleet,
):
    fleet = settled_fleet(3)
    own = fleet.running[0].own
    _send_updates(
        fleet,
        0,
        _update(own.instance_id, own.peer_address.ip, leaving=True),
        _update(
            own.instance_id,
            own.peer_address.ip,
            liveness=kinds.Liveness.DEAD,
            incarnation=kinds.MAX_INCARNATION,
        ),
    )
    assert fleet.running[0].own.state is members.MemberState.ALIVE
    assert fleet.running[0].own.incarnation == 0


def test_a_lone_daemon_is_confirmed_and_a_cut_off_daemon_is_not(new_fleet):
    fleet = new_fleet(0)
    alone = fleet.start(0, seeds=())
    assert alone.confirm_since(fleet.clock.monotonic_s())
    fleet.start(1, seeds=(0,))
    assert not fleet.running[1].confirm_since(fleet.clock.monotonic_s())
    fleet.tick(5)
    assert fleet.running[1].confirm_since(fleet.clock.monotonic_s() - 2)
    fleet.partition([0], [1])
    moment_s = fleet.clock.monotonic_s()
    fleet.tick(60)
    assert fleet.running[1].members() == (fleet.running[1].own,)
    assert not fleet.running[1].confirm_since(moment_s)


def test_seed_addresses_never_override_the_view(settled_fleet):
    fleet = settled_fleet(6)
    dead = fleet.crash(4).own.instance_id
    fleet.running[5].announce_leaving()
    for daemon in fleet.running.values():
        daemon.seed(fleet.address(index) for index in range(6))
    fleet.tick(40)
    for daemon in fleet.running.values():
        found = daemon.find(dead)
        assert found is None or found.state is members.MemberState.DEAD
        leaving = daemon.find(fleet.running[5].own.instance_id)
        assert leaving.state is members.MemberState.LEAVING


def test_every_heartbeat_carries_a_mark(settled_fleet):
    fleet = settled_fleet(4)
    fleet.received_marks.clear()
    fleet.tick(1)
    # Each of 4 daemons receives a probe and an ack from each of 3 peers.
    assert fleet.received_marks == {index: 6 for index in range(4)}


def test_start_estimates_are_late_by_at_most_the_transit_time(settled_fleet):
    fleet = settled_fleet(24, dead_keep_s=60)
    for daemon in fleet.running.values():
        for member in daemon.members():
            late_s = member.started_at_s - 1000.0
            assert -0.001 <= late_s <= 5.0


def test_tables_stay_within_their_limits(settled_fleet):
    fleet = settled_fleet(3, max_members=20, max_dead=8)
    unknown_members = [
        _update(f'stray-{index}~01', f'10.9.9.{index}') for index in range(40)
    ]
    _send_updates(fleet, 0, *unknown_members)
    assert len(fleet.running[0].members()) == 20
    fleet.tick(60)
    assert fleet.agree()
    known = [
        fleet.running[0].find(unknown_member.instance_id)
        for unknown_member in unknown_members
    ]
    assert len([member for member in known if member]) <= 8


@pytest.mark.parametrize(
    'overrides',
    [
        {'heartbeat_interval_s': 0},
        {'monitored_peers': -1},
        {'pause_gap_s': 1.0},
    ],
)
def test_invalid_options_are_rejected(overrides):
    with pytest.raises(errors.InvalidArgumentError):
        options.MembershipOptions(**overrides)
