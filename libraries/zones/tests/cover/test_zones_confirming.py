"""How long a withdrawn key may still be taken, whatever is cut or late.

The pattern: keys are taken away while the platform turns a part of the daemons
away, links are cut, messages come late and machines are suspended.
"""

import asyncio

import pytest
import zones_support as support

from sardinepier.entry import confirmation

BOUND_S = 5.0


def need_confirmations(zone):
    for one in zone.daemons:
        one.held.confirmation = confirmation.Confirmation(
            zone.clock,
            BOUND_S,
        )


@pytest.fixture
async def zone():
    made = support.Zone(count=4, zones=('z1', 'far'))
    need_confirmations(made)
    await support.with_targets(made)
    await made.run(2.0)
    return made


def unconfirmed(zone):
    return {
        one.own.daemon_id
        for one in zone.living()
        if not one.held.confirmation.is_valid()
    }


async def test_all_are_confirmed_by_one_reader_of_each_zone(zone):
    calls = zone.platform.fresh_calls
    for _ in range(20):
        await zone.run(0.5)
        assert not unconfirmed(zone)
    # Two zones read each 0.9 s; nobody else asks the platform.
    assert zone.platform.fresh_calls - calls <= 2 * 10 / 0.9 + 2


async def test_those_that_are_turned_away_are_confirmed_by_others(zone):
    for one in zone.daemons:
        if one.own.zone == 'z1':
            zone.platform.refused.add(one.own.daemon_id)
    for _ in range(20):
        await zone.run(0.5)
        assert not unconfirmed(zone)


async def test_one_that_is_cut_off_stops_within_the_bound(zone):
    lone = zone.carrier()
    zone.platform.refused.add(lone.own.daemon_id)
    for one in zone.daemons:
        if one is not lone:
            zone.hub.cut(lone.own.peer_address, one.own.peer_address)
            zone.hub.cut(one.own.peer_address, lone.own.peer_address)
    cut_s = zone.clock.monotonic_s()
    while lone.held.confirmation.is_valid():
        await zone.run(0.1)
    assert zone.clock.monotonic_s() - cut_s <= BOUND_S
    await zone.run(2.0)
    assert unconfirmed(zone) == {lone.own.daemon_id}


async def test_nobody_is_confirmed_while_the_platform_is_away(zone):
    zone.platform.refused.update(one.own.daemon_id for one in zone.daemons)
    away_s = zone.clock.monotonic_s()
    while len(unconfirmed(zone)) < len(zone.daemons):
        await zone.run(0.1)
        assert zone.clock.monotonic_s() - away_s <= BOUND_S + 0.2
    zone.platform.refused.clear()
    await zone.run(4.5)
    assert not unconfirmed(zone)


async def test_an_answer_that_was_long_on_its_way_is_as_old_as_the_question(
    zone,
):
    teller, asker = zone.daemons[0], zone.daemons[1]
    held = confirmation.Confirmation(zone.clock, BOUND_S)
    asker.held.confirmation = held
    zone.platform.refused.add(asker.own.daemon_id)
    asker.sharing._confirming.step()
    # The question lies in the network for a while, and so does the answer.
    zone.clock.advance(2.0)
    for one in zone.daemons:
        if one is not asker:
            one.held.confirmation.confirm(zone.clock.boot_s())
    zone.hub.deliver()
    assert held.age_s() == pytest.approx(2.0, abs=0.002)
    zone.clock.advance(3.1)
    assert teller.held.confirmation.is_valid()
    assert not held.is_valid()


async def test_a_confirmation_of_a_version_not_held_is_not_taken(zone):
    teller, asker = zone.daemons[0], zone.daemons[1]
    asker.held.confirmation = confirmation.Confirmation(zone.clock, BOUND_S)
    for one in zone.daemons:
        if one is not asker:
            one.held.offer_configuration(support.configuration(9))
    asker.sharing._confirming.step()
    zone.hub.deliver()
    assert asker.version == 1
    assert not asker.held.confirmation.is_valid()
    await zone.run(1.0)
    assert asker.version == 9
    assert asker.held.confirmation.is_valid()
    assert teller.version == 9


async def test_a_suspended_daemon_wakes_unconfirmed(zone):
    sleeper = zone.daemons[2]
    # Its own clock alone: the others were awake.
    clock = support.clocks.ManualClock(zone.clock.monotonic_s())
    sleeper.held.confirmation = confirmation.Confirmation(clock, BOUND_S)
    sleeper.held.confirmation.confirm(clock.boot_s())
    clock.suspend(6.0)
    assert not sleeper.held.confirmation.is_valid()


async def test_requests_that_wait_make_a_lone_daemon_read(zone):
    lone = zone.daemons[3]
    lone.held.confirmation = confirmation.Confirmation(zone.clock, BOUND_S)
    for one in zone.daemons:
        if one is not lone:
            zone.hub.cut(lone.own.peer_address, one.own.peer_address)
    waiting = asyncio.create_task(lone.held.confirmation.wait(5.0))
    await asyncio.sleep(0)
    await zone.run(0.5)
    assert await waiting


async def test_an_unusable_configuration_confirms_nothing(zone):
    zone.platform.configuration = None
    while not unconfirmed(zone):
        await zone.run(0.5)
    await zone.run(5.0)
    assert len(unconfirmed(zone)) == len(zone.daemons)
