"""For each safeguard, the case in which the fleet goes wrong without it."""

import pytest

from sardinepier.core import ids
from sardinepier.membership import events, kinds, marks, members
from sardinepier.wire import messages

_MARK = marks.ConfigurationMark(1, 2)


@pytest.fixture
def fleet(settled_fleet):
    return settled_fleet(12, dead_keep_s=40)


def _claim(fleet, index, liveness):
    """The claim about a daemon that any other would send."""
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


def _tell(fleet, teller, index, *claims):
    target = fleet.running[index].own.instance_id
    fleet.networks[teller].send(
        fleet.address(index), kinds.Probe(1, target, _MARK, claims)
    )
    fleet.hub.deliver()


def _state(fleet, index, about):
    return fleet.running[index].find(fleet.running[about].own.instance_id).state


def _isolate(fleet, index):
    others = [other for other in fleet.running if other != index]
    fleet.part([index], others)


def test_lost_addresses_join_sides_that_have_forgotten_each_other(fleet):
    for daemon in fleet.running.values():
        daemon.seed(())
    left, right = range(6), range(6, 12)
    fleet.part(left, right)
    fleet.tick(120)  # far beyond the time for which the dead are remembered
    stranger = fleet.running[0].own.instance_id
    assert fleet.running[11].find(stranger) is None
    fleet.hub.heal_all()
    fleet.ticks_until(fleet.agree, limit=60)


def test_a_doubt_asks_the_member_and_hides_it_from_nobody(fleet):
    doubt = _claim(fleet, 3, kinds.Liveness.DEAD)
    fleet.networks[1].send(fleet.address(2), kinds.SyncPatch((), (doubt,)))
    fleet.hub.deliver()
    assert _state(fleet, 2, about=3) is members.MemberState.ALIVE
    for _ in range(3):
        fleet.tick()
        assert fleet.agree()
    assert fleet.running[3].own.incarnation == 1


def test_one_cut_off_until_now_is_not_believed_about_others(fleet):
    _isolate(fleet, 5)
    fleet.tick(30)
    assert _state(fleet, 0, about=5) is members.MemberState.DEAD
    fleet.hub.heal_all()
    _tell(fleet, 5, 0, _claim(fleet, 3, kinds.Liveness.DEAD))
    assert _state(fleet, 0, about=3) is members.MemberState.ALIVE


def test_one_cut_off_forgets_its_claims_when_it_is_back(fleet):
    _isolate(fleet, 5)
    fleet.tick(60)
    assert len(fleet.running[5].members()) == 1
    fleet.hub.heal_all()
    fleet.ticks_until(fleet.agree, limit=40)
    # Nobody but the one that was cut off had anything to refute.
    refuted = {
        index
        for index, daemon in fleet.running.items()
        if daemon.own.incarnation
    }
    assert refuted <= {5}


@pytest.mark.parametrize('seed', range(2, 26))
def test_one_that_is_back_makes_nobody_refute_a_death(settled_fleet, seed):
    """Guards against claims that the one cut off sends before any answer."""
    fleet = settled_fleet(12, seed=seed, dead_keep_s=40)
    _isolate(fleet, 5)
    fleet.tick(60)
    fleet.hub.heal_all()
    fleet.ticks_until(fleet.agree, limit=40)
    fleet.tick(20)
    for index, daemon in fleet.running.items():
        assert index == 5 or not daemon.own.incarnation


def test_a_suspect_is_not_dead_because_its_observer_slept(fleet):
    _isolate(fleet, 7)
    fleet.hub.heal(fleet.address(1), fleet.address(7))
    _tell(fleet, 1, 7, _claim(fleet, 4, kinds.Liveness.SUSPECT))
    assert _state(fleet, 7, about=4) is members.MemberState.SUSPECT
    _isolate(fleet, 7)
    fleet.pause(7)
    fleet.tick(30)
    fleet.resume(7)
    fleet.hub.heal_all()
    fleet.tick(20)
    assert fleet.agree()
    assert not fleet.reported(7, events.MemberDied)


def test_an_observer_that_hears_nobody_for_a_moment_accuses_nobody(fleet):
    others = [other for other in fleet.running if other != 7]
    fleet.cut(others, [7])
    fleet.tick(4)
    fleet.hub.heal_all()
    fleet.tick(20)
    assert not fleet.reported(7, events.MemberSuspected)
    assert fleet.agree()


def test_an_answer_by_another_instance_proves_the_old_one_dead(fleet):
    old = fleet.crash(3).own.instance_id
    address = fleet.address(3)
    impostor = fleet.hub.network(
        messages.Sender(ids.InstanceId('entry-3~ffff'), address)
    )
    impostor.subscribe(
        kinds.Probe,
        lambda who, probe: impostor.send(
            who.address, kinds.Ack(probe.sequence, _MARK, 0)
        ),
    )
    fleet.tick(2)
    assert fleet.ended(events.MemberReplaced) == {old}
    assert not fleet.ended(events.MemberSuspected)


def test_asking_again_makes_nobody_look_silent(fleet):
    asking = fleet.running[7]
    for _ in range(10):
        fleet.clock.advance(1)
        for daemon in fleet.running.values():
            if daemon is asking:
                # Asked just before the tick: the answers come after it.
                daemon.refresh()
            daemon.tick()
            fleet.hub.deliver()
    assert not fleet.ended(events.MemberSuspected)


def test_asking_again_and_again_is_bounded(fleet):
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
