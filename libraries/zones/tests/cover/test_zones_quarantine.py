"""Requests that crash targets are quarantined by all daemons of all zones."""

import pytest
import zones_support as support
from sardinepier.once import errors
from sardinepier.wire import memory_network

CRASHING = 13
ZONES = ('z1', 'zone2', 'zone-03')


@pytest.fixture
async def zones():
    zones = support.Zone(count=4, zones=ZONES)
    await support.with_targets(zones)
    return zones


def carriers_of(zones):
    return [daemon for daemon in zones.daemons if daemon.carriers.is_carrier()]


def others_of(zones):
    return [
        daemon for daemon in zones.daemons if not daemon.carriers.is_carrier()
    ]


def crash(daemon, *names):
    for name in names:
        daemon.quarantine.crashed(CRASHING, support.SERVICE, name, True)


def is_quarantined(daemon):
    try:
        daemon.quarantine.raise_if_quarantined(CRASHING)
    except errors.QuarantinedError:
        return True
    return False


async def test_crashes_seen_by_carriers_of_two_zones_add_up_at_once(zones):
    """Guards against two crashes for each daemon that gets the request."""
    first, second, third = carriers_of(zones)
    crash(first, 'a')
    zones.hub.deliver()
    crash(second, 'b')
    zones.hub.deliver()
    assert all(is_quarantined(daemon) for daemon in (first, second, third))


async def test_crashes_seen_by_other_daemons_add_up(zones):
    first, *_, last = others_of(zones)
    crash(first, 'a')
    await zones.run(0.3)
    crash(last, 'b')
    await zones.run(0.3)
    assert all(is_quarantined(daemon) for daemon in zones.daemons)


@pytest.mark.parametrize('is_carrier', [True, False])
async def test_a_request_quarantined_anywhere_is_quarantined_everywhere(
    zones, is_carrier
):
    """Guards against daemons that each let a crashing request through."""
    daemons = carriers_of(zones) if is_carrier else others_of(zones)
    crash(daemons[0], 'a', 'b')
    await zones.run(0.5)
    assert all(is_quarantined(daemon) for daemon in zones.daemons)


@pytest.mark.parametrize('seed_crash', ['a', 'b', 'c'])
async def test_marks_are_repeated_as_messages_may_be_lost(zones, seed_crash):
    zones.hub.faults = memory_network.LinkFaults(loss=0.5)
    crash(carriers_of(zones)[0], seed_crash, 'd')
    await zones.run(5.0)
    zones.hub.faults = memory_network.LinkFaults()
    await zones.run(2.5)
    assert all(is_quarantined(daemon) for daemon in zones.daemons)


async def test_a_daemon_that_was_cut_off_learns_of_a_quarantine(zones):
    cut_off = others_of(zones)[0]
    for daemon in zones.daemons:
        zones.hub.cut(daemon.own.peer_address, cut_off.own.peer_address)
    crash(carriers_of(zones)[0], 'a', 'b')
    await zones.run(6.0)
    assert not is_quarantined(cut_off)
    zones.hub.heal_all()
    await zones.run(2.5)
    assert is_quarantined(cut_off)


async def test_nothing_is_sent_while_no_request_is_suspected(zones):
    crash(carriers_of(zones)[0], 'a')
    await zones.run(7.0)
    before = _sent_updates(zones)
    await zones.run(5.0)
    assert before > 0
    assert _sent_updates(zones) == before


async def test_a_quarantine_does_not_prolong_itself(zones):
    """Guards against daemons that send each other what they received."""
    crash(carriers_of(zones)[0], 'a', 'b')
    await zones.run(14.0)
    assert all(is_quarantined(daemon) for daemon in zones.daemons)
    await zones.run(2.0)
    assert not any(is_quarantined(daemon) for daemon in zones.daemons)


async def test_zones_try_a_request_one_after_another(zones):
    """Guards against a crash in each zone when a quarantine ends."""
    crash(carriers_of(zones)[0], 'a', 'b')
    await zones.run(15.5)
    trials = 0
    for daemon in zones.daemons:
        try:
            daemon.quarantine.admit(CRASHING)
        except errors.QuarantinedError:
            continue
        trials += 1
    assert trials == 1


def _sent_updates(zones):
    return sum(
        traffic.messages
        for daemon in zones.daemons
        for traffic in daemon.network.counters().traffic
        if traffic.kind == 'QuarantineUpdate'
    )
