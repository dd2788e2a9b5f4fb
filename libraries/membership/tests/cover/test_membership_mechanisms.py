"""For each safeguard of membership, a case that fails without it."""

import pytest

from sardinepier.core import ids
from sardinepier.membership import events, kinds, marks, members
from sardinepier.wire import messages

_MARK = marks.ConfigurationMark(1, 2)


@pytest.fixture
def fleet(settled_fleet):
    return settled_fleet(12, dead_keep_s=40)


def _claim(fleet, index, liveness):
    """Return the claim about a daemon that any peer would send."""
    member = fleet.running[index].own
    return kinds.MemberUpdate(
        instance_id=member.instance_id,
        zone=member.zone,
        region=member.region,
        peer_address=member.peer_address,
        http_ip=member.http_ip,
        http_port=member.http_port,
        incarnation=member.incarnation,
        liveness=liveness,
        leaving=False,
        age_ms=0,
    )


def _send_updates(fleet, sender, index, *claims):
    target = fleet.running[index].own.instance_id
    fleet.networks[sender].send(
        fleet.address(index), kinds.Probe(1, target, _MARK, claims)
    )
    fleet.hub.deliver()


def _state(fleet, index, about):
    return fleet.running[index].find(fleet.running[about].own.instance_id).state


def _isolate(fleet, index):
    other_indexes = [
        peer_index for peer_index in fleet.running if peer_index != index
    ]
    fleet.partition([index], other_indexes)


def test_unreachable_addresses_rejoin_sides_that_forgot_each_other(fleet):
    for daemon in fleet.running.values():
        daemon.seed(())
    left_side, right_side = range(6), range(6, 12)
    fleet.partition(left_side, right_side)
    fleet.tick(120)  # far longer than dead_keep_s
    forgotten = fleet.running[0].own.instance_id
    assert fleet.running[11].find(forgotten) is None
    fleet.hub.heal_all()
    fleet.ticks_until(fleet.agree, limit=60)


def test_a_death_claim_probes_the_member_and_hides_it_nowhere(fleet):
    death_claim = _claim(fleet, 3, kinds.Liveness.DEAD)
    fleet.networks[1].send(
        fleet.address(2), kinds.SyncPatch((), (death_claim,))
    )
    fleet.hub.deliver()
    assert _state(fleet, 2, about=3) is members.MemberState.ALIVE
    for _ in range(3):
        fleet.tick()
        assert fleet.agree()
    assert fleet.running[3].own.incarnation == 1


def test_claims_of_a_daemon_cut_off_until_now_are_not_trusted(fleet):
    _isolate(fleet, 5)
    fleet.tick(30)
    assert _state(fleet, 0, about=5) is members.MemberState.DEAD
    fleet.hub.heal_all()
    _send_updates(fleet, 5, 0, _claim(fleet, 3, kinds.Liveness.DEAD))
    assert _state(fleet, 0, about=3) is members.MemberState.ALIVE


def test_a_daemon_cut_off_drops_its_claims_when_it_returns(fleet):
    _isolate(fleet, 5)
    fleet.tick(60)
    assert len(fleet.running[5].members()) == 1
    fleet.hub.heal_all()
    fleet.ticks_until(fleet.agree, limit=40)
    # Only the daemon that was cut off may have had a claim to refute.
    refuted = {
        index
        for index, daemon in fleet.running.items()
        if daemon.own.incarnation
    }
    assert refuted <= {5}


@pytest.mark.parametrize('seed', range(2, 26))
def test_a_returning_daemon_forces_no_refutations(settled_fleet, seed):
    """Guards against claims that an isolated daemon sends before any answer.

    Its peers would have to refute such claims with a new incarnation.
    """
    fleet = settled_fleet(12, seed=seed, dead_keep_s=40)
    _isolate(fleet, 5)
    fleet.tick(60)
    fleet.hub.heal_all()
    fleet.ticks_until(fleet.agree, limit=40)
    fleet.tick(20)
    for index, daemon in fleet.running.items():
        assert index == 5 or not daemon.own.incarnation


def test_a_pause_of_the_observer_does_not_kill_a_suspect(fleet):
    _isolate(fleet, 7)
    fleet.hub.heal(fleet.address(1), fleet.address(7))
    _send_updates(fleet, 1, 7, _claim(fleet, 4, kinds.Liveness.SUSPECT))
    assert _state(fleet, 7, about=4) is members.MemberState.SUSPECT
    _isolate(fleet, 7)
    fleet.pause(7)
    fleet.tick(30)
    fleet.resume(7)
    fleet.hub.heal_all()
    fleet.tick(20)
    assert fleet.agree()
    assert not fleet.reported(7, events.MemberDied)


def test_an_observer_briefly_without_answers_suspects_no_member(fleet):
    other_indexes = [
        peer_index for peer_index in fleet.running if peer_index != 7
    ]
    fleet.cut(other_indexes, [7])
    fleet.tick(4)
    fleet.hub.heal_all()
    fleet.tick(20)
    assert not fleet.reported(7, events.MemberSuspected)
    assert fleet.agree()


def test_an_answer_by_another_instance_marks_the_old_one_dead(fleet):
    old = fleet.crash(3).own.instance_id
    address = fleet.address(3)
    successor = fleet.hub.network(
        messages.Sender(ids.InstanceId('entry-3~ffff'), address)
    )
    successor.subscribe(
        kinds.Probe,
        lambda sender, probe: successor.send(
            sender.address, kinds.Ack(probe.sequence, _MARK, 0)
        ),
    )
    fleet.tick(2)
    assert fleet.reported_by_any(events.MemberReplaced) == {old}
    assert not fleet.reported_by_any(events.MemberSuspected)


def test_refresh_before_a_tick_counts_no_missed_heartbeat(fleet):
    refreshing = fleet.running[7]
    for _ in range(10):
        fleet.clock.advance(1)
        for daemon in fleet.running.values():
            if daemon is refreshing:
                # The answers to this refresh arrive after the tick.
                daemon.refresh()
            daemon.tick()
            fleet.hub.deliver()
    assert not fleet.reported_by_any(events.MemberSuspected)


def test_refresh_is_rate_limited(fleet):
    before = fleet.networks[7].counters().messages_sent
    for _ in range(100):
        fleet.running[7].refresh()
        fleet.hub.deliver()
    assert fleet.networks[7].counters().messages_sent - before <= 4
    fleet.tick()
    moment_s = fleet.clock.monotonic_s()
    fleet.clock.advance(0.5)
    fleet.running[7].refresh()
    fleet.hub.deliver()
    assert fleet.running[7].confirm_since(moment_s)
