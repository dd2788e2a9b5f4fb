"""Changing the options of a running fleet causes no false suspicions."""

import asyncio

import pytest

from sardinepier.membership import events, members

_SIZE = 24
_HALF = range(0, _SIZE, 2)
_QUICK = {
    'heartbeat_interval_s': 0.1,
    'suspicion_timeout_s': 0.4,
    'pause_gap_s': 0.5,
}
_SLOW = {
    'heartbeat_interval_s': 10,
    'suspicion_timeout_s': 50,
    'pause_gap_s': 30,
}
_FLEET_FILE = {
    'heartbeat_interval_s': 0.5,
    'suspicion_timeout_s': 2,
    'pause_gap_s': 1.5,
}


def _suspected_or_dead(fleet):
    return fleet.reported_by_any(events.MemberSuspected, events.MemberDied)


def _suspect(fleet, index):
    """Crash a daemon and run the fleet until it is suspected."""
    name = fleet.crash(index).own.instance_id
    observer = fleet.running[0]
    while observer.find(name).state is members.MemberState.ALIVE:
        fleet.run_for(0.1)
    return observer, name


@pytest.mark.parametrize(
    'overrides',
    [
        _QUICK,
        _SLOW,
        _FLEET_FILE,
        {'monitored_peers': 1},
        {'monitored_peers': 16},
    ],
)
def test_daemons_with_different_options_suspect_no_member(
    settled_fleet, overrides
):
    fleet = settled_fleet(_SIZE)
    for index in _HALF:
        fleet.configure(index, **overrides)
        fleet.run_for(0.7)
    fleet.run_for(25)
    for index in _HALF:
        fleet.configure(index)
    fleet.run_for(30)
    assert not _suspected_or_dead(fleet)
    assert fleet.agree()


@pytest.mark.parametrize('peers', [2, 4, 7])
def test_number_of_monitored_peers_follows_the_option(settled_fleet, peers):
    fleet = settled_fleet(_SIZE)
    for index in fleet.running:
        fleet.configure(index, monitored_peers=peers)
    before = sum(count for count, _ in fleet.sent())
    fleet.tick(20)
    sent = (sum(count for count, _ in fleet.sent()) - before) / 20 / _SIZE
    # A probe and an ack per monitored peer, and occasional table exchanges.
    assert 2 * peers <= sent < 2 * peers + 1


@pytest.mark.parametrize(
    ('timeout_s', 'alive_for_s', 'dead_after_s'),
    [
        (0.6, 3, 6),  # an existing suspicion keeps its deadline
        (20, 15, 25),  # a longer timeout extends it
        (3600, 30, None),
    ],
)
def test_a_suspect_gets_the_longer_of_old_and_new_timeout(
    settled_fleet, timeout_s, alive_for_s, dead_after_s
):
    fleet = settled_fleet(_SIZE)
    observer, name = _suspect(fleet, 5)
    for index in fleet.running:
        fleet.configure(index, suspicion_timeout_s=timeout_s)
    fleet.run_for(alive_for_s)
    assert observer.find(name).state is members.MemberState.SUSPECT
    if dead_after_s is None:  # a mistaken value that is reverted must not last
        for index in fleet.running:
            fleet.configure(index)
        dead_after_s = alive_for_s + 17
    fleet.run_for(dead_after_s - alive_for_s)
    assert observer.find(name).state is members.MemberState.DEAD


def test_a_shorter_timeout_takes_effect_after_propagation(settled_fleet):
    fleet = settled_fleet(_SIZE)
    for index in fleet.running:
        fleet.configure(index, suspicion_timeout_s=1.5)
    fleet.run_for(12)
    observer, name = _suspect(fleet, 5)
    fleet.run_for(3)
    assert observer.find(name).state is members.MemberState.DEAD


def test_a_pause_is_detected_if_options_change_before_the_tick(
    settled_fleet,
):
    fleet = settled_fleet(_SIZE)
    name = fleet.running[7].own.instance_id
    fleet.pause(7)
    fleet.run_for(30)
    fleet.resume(7)
    fleet.configure(7, **_FLEET_FILE)
    fleet.run_for(20)
    assert _suspected_or_dead(fleet) <= {name}
    assert fleet.agree()


async def test_run_applies_a_shorter_interval_at_once(new_fleet):
    fleet = new_fleet(2, heartbeat_interval_s=3600, pause_gap_s=7200)
    task = asyncio.create_task(fleet.running[0].run())
    await asyncio.sleep(0)
    fleet.configure(0, heartbeat_interval_s=0.01)
    async with asyncio.timeout(20):
        while fleet.networks[0].counters().messages_sent < 3:
            await asyncio.sleep(0.01)
    task.cancel()
