"""The time for which a revoked key is still accepted, under failures.

Keys are revoked while the platform refuses some of the daemons, links are cut,
messages are delayed and instances are suspended.
"""

import asyncio

import pytest
import zones_support as support

from sardinepier.entry import confirmation

BOUND_S = 5.0


def need_confirmations(zone):
    for daemon in zone.daemons:
        daemon.services.confirmation = confirmation.Confirmation(
            zone.clock,
            BOUND_S,
        )


@pytest.fixture
async def zone():
    new_zone = support.Zone(count=4, zones=('z1', 'far'))
    need_confirmations(new_zone)
    await support.with_targets(new_zone)
    await new_zone.run(2.0)
    return new_zone


def unconfirmed(zone):
    return {
        daemon.own.daemon_id
        for daemon in zone.living()
        if not daemon.services.confirmation.is_valid()
    }


async def test_all_are_confirmed_by_one_reader_of_each_zone(zone):
    calls = zone.platform.fresh_calls
    for _ in range(20):
        await zone.run(0.5)
        assert not unconfirmed(zone)
    # Two zones read each 0.9 s; no other daemon reads the platform.
    assert zone.platform.fresh_calls - calls <= 2 * 10 / 0.9 + 2


async def test_refused_daemons_are_confirmed_by_others(zone):
    for daemon in zone.daemons:
        if daemon.own.zone == 'z1':
            zone.platform.refused.add(daemon.own.daemon_id)
    for _ in range(20):
        await zone.run(0.5)
        assert not unconfirmed(zone)


async def test_a_partitioned_daemon_stops_within_the_bound(zone):
    isolated = zone.carrier()
    zone.platform.refused.add(isolated.own.daemon_id)
    for daemon in zone.daemons:
        if daemon is not isolated:
            zone.hub.cut(isolated.own.peer_address, daemon.own.peer_address)
            zone.hub.cut(daemon.own.peer_address, isolated.own.peer_address)
    cut_s = zone.clock.monotonic_s()
    while isolated.services.confirmation.is_valid():
        await zone.run(0.1)
    assert zone.clock.monotonic_s() - cut_s <= BOUND_S
    await zone.run(2.0)
    assert unconfirmed(zone) == {isolated.own.daemon_id}


async def test_no_daemon_is_confirmed_during_an_outage_of_the_platform(zone):
    zone.platform.refused.update(
        daemon.own.daemon_id for daemon in zone.daemons
    )
    outage_began_s = zone.clock.monotonic_s()
    while len(unconfirmed(zone)) < len(zone.daemons):
        await zone.run(0.1)
        assert zone.clock.monotonic_s() - outage_began_s <= BOUND_S + 0.2
    zone.platform.refused.clear()
    await zone.run(4.5)
    assert not unconfirmed(zone)


async def test_a_delayed_reply_counts_from_its_request(
    zone,
):
    other_daemon, requester = zone.daemons[0], zone.daemons[1]
    requester_confirmation = confirmation.Confirmation(zone.clock, BOUND_S)
    requester.services.confirmation = requester_confirmation
    zone.platform.refused.add(requester.own.daemon_id)
    requester.sharing._confirmations.step()
    # The network delays the request, and the reply.
    zone.clock.advance(2.0)
    for daemon in zone.daemons:
        if daemon is not requester:
            daemon.services.confirmation.confirm(zone.clock.boot_s())
    zone.hub.deliver()
    assert requester_confirmation.age_s() == pytest.approx(2.0, abs=0.002)
    zone.clock.advance(3.1)
    assert other_daemon.services.confirmation.is_valid()
    assert not requester_confirmation.is_valid()


async def test_a_confirmation_of_an_unknown_version_is_ignored(zone):
    other_daemon, requester = zone.daemons[0], zone.daemons[1]
    requester.services.confirmation = confirmation.Confirmation(
        zone.clock, BOUND_S
    )
    for daemon in zone.daemons:
        if daemon is not requester:
            daemon.services.offer_configuration(support.configuration(9))
    requester.sharing._confirmations.step()
    zone.hub.deliver()
    assert requester.version == 1
    assert not requester.services.confirmation.is_valid()
    await zone.run(1.0)
    assert requester.version == 9
    assert requester.services.confirmation.is_valid()
    assert other_daemon.version == 9


async def test_a_suspended_daemon_resumes_unconfirmed(zone):
    suspended = zone.daemons[2]
    # A clock of its own, as the other daemons are not suspended.
    clock = support.clocks.ManualClock(zone.clock.monotonic_s())
    suspended.services.confirmation = confirmation.Confirmation(clock, BOUND_S)
    suspended.services.confirmation.confirm(clock.boot_s())
    clock.suspend(6.0)
    assert not suspended.services.confirmation.is_valid()


async def test_waiting_requests_make_an_isolated_daemon_read(zone):
    isolated = zone.daemons[3]
    isolated.services.confirmation = confirmation.Confirmation(
        zone.clock, BOUND_S
    )
    for daemon in zone.daemons:
        if daemon is not isolated:
            zone.hub.cut(isolated.own.peer_address, daemon.own.peer_address)
    waiting = asyncio.create_task(isolated.services.confirmation.wait(5.0))
    await asyncio.sleep(0)
    await zone.run(0.5)
    assert await waiting


async def test_an_unusable_configuration_confirms_nothing(zone):
    zone.platform.configuration = None
    while not unconfirmed(zone):
        await zone.run(0.5)
    await zone.run(5.0)
    assert len(unconfirmed(zone)) == len(zone.daemons)
