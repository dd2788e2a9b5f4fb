"""Exchange of failure estimates within and between zones."""

import msgspec
import pytest
import zones_support as support
from sardinepier.health import refusal_estimate
from sardinepier.wire import memory_network
from sardinepier.zones import messages


@pytest.fixture
def zone():
    return support.Zone(count=6)


async def test_a_failure_observed_by_a_non_carrier_reaches_the_carrier(zone):
    await support.with_targets(zone)
    non_carrier = next(
        daemon for daemon in zone.daemons if not daemon.carriers.is_carrier()
    )
    support.fail(non_carrier, 't1')
    await zone.run(0.5)
    assert support.failing(zone.carrier(), 't1') > 0.5


async def test_a_failure_observed_by_the_carrier_reaches_its_zone(zone):
    await support.with_targets(zone)
    support.fail(zone.carrier(), 't1')
    await zone.run(0.5)
    assert all(support.failing(daemon, 't1') > 0.5 for daemon in zone.daemons)


async def test_a_failure_reaches_the_carriers_of_other_zones():
    zone = support.Zone(count=3, zones=('z1', 'zone2'))
    await support.with_targets(zone)
    support.fail(zone.carrier(), 't1')
    await zone.run(1.0)
    other_carrier = zone.find(zone.daemons[-1].carriers.of_own_zone()[0])
    assert support.failing(other_carrier, 't1') > 0.5


async def test_a_repeated_failure_is_sent_again():
    """Estimates in other zones decay, so that later failures are sent."""
    zone = support.Zone(count=3, zones=('z1', 'zone2'))
    await support.with_targets(zone)
    # Fast failures raise the estimate to nearly 1, both times alike.
    zone.carrier().services.pool(support.SERVICE).typical_latency_s = 0.2
    support.fail(zone.carrier(), 't1')
    await zone.run(3.0)
    support.fail(zone.carrier(), 't1')
    again_s = zone.clock.monotonic_s()
    await zone.run(1.0)
    other_carrier = zone.find(zone.daemons[-1].carriers.of_own_zone()[0])
    record = other_carrier.services.pool(support.SERVICE).targets.find('t1')
    assert record.estimate.updated_s == pytest.approx(again_s, abs=0.3)


async def test_the_newest_observation_applies(zone):
    await support.with_targets(zone)
    carrier = zone.carrier()
    non_carrier = next(
        daemon for daemon in zone.daemons if daemon is not carrier
    )
    support.fail(non_carrier, 't1')
    zone.clock.advance(0.01)
    pool = carrier.services.pool(support.SERVICE)
    pool.answered(pool.targets.find('t1'), 0.1)
    expected = support.failing(carrier, 't1')
    await zone.run(0.5)
    assert support.failing(carrier, 't1') == pytest.approx(expected, abs=0.05)


async def test_reports_of_one_zone_reach_all_carriers_of_the_other():
    zone = support.Zone(count=4, zones=('z1', 'zone2'))
    await support.with_targets(zone)
    support.overload(zone, 'zone2')
    await zone.run(1.0)
    support.fail(zone.carrier(), 't1')
    await zone.run(1.5)
    carriers_there = [
        daemon
        for daemon in zone.daemons
        if daemon.own.zone == 'zone2' and daemon.carriers.is_carrier()
    ]
    assert len(carriers_there) > 1
    for daemon in carriers_there:
        assert support.failing(daemon, 't1') > 0.4


async def test_observations_keep_their_time_in_transit(zone):
    """Daemons send their own observations, and don't forward received ones."""
    await support.with_targets(zone)
    zone.hub.faults = memory_network.LinkFaults(delay_s=0.05)
    support.fail(zone.carrier(), 't1')
    seen_s = zone.clock.monotonic_s()
    await zone.run(3.0)
    for daemon in zone.daemons:
        record = daemon.services.pool(support.SERVICE).targets.find('t1')
        assert record.estimate.updated_s == pytest.approx(seen_s, abs=0.3)


async def test_an_estimate_without_an_observation_is_not_sent(zone):
    """The initial estimate of a late daemon replaces no observed outcome."""
    await support.with_targets(zone)
    late = next(
        daemon for daemon in zone.daemons if not daemon.carriers.is_carrier()
    )
    support.fail(zone.carrier(), 't1')
    expected = support.failing(zone.carrier(), 't1')
    zone.clock.advance(0.01)
    late.services.pool(support.SERVICE).set_targets([])
    late.services.pool(support.SERVICE).set_targets([support.target('t1')])
    await zone.run(0.5)
    assert support.failing(zone.carrier(), 't1') == pytest.approx(
        expected, abs=0.05
    )


def refusing(daemon, name):
    record = daemon.services.pool(support.SERVICE).targets.find(name)
    return record.refusal.probability(daemon.clock.monotonic_s())


def shed(daemon, name, times=3):
    pool = daemon.services.pool(support.SERVICE)
    for _ in range(times):
        pool.retries.shed(
            pool.targets.find(name), refusal_estimate.ShedCause.UNHEALTHY
        )


async def test_sheds_of_a_target_reach_the_zone_and_are_forgotten(zone):
    """Guards against estimates that circulate after the target recovered."""
    await support.with_targets(zone)
    shed(zone.carrier(), 't1')
    await zone.run(0.3)
    for daemon in zone.daemons:
        assert refusing(daemon, 't1') > 0.3
        # No outcome was observed, so that the failure estimate stays.
        assert support.failing(daemon, 't1') < 0.35
    await zone.run(1.2)
    assert all(refusing(daemon, 't1') < 0.1 for daemon in zone.daemons)


async def test_sheds_reach_the_carriers_of_other_zones():
    zone = support.Zone(count=3, zones=('z1', 'zone2'))
    await support.with_targets(zone)
    highest = 0.0
    other_carrier = zone.find(zone.daemons[-1].carriers.of_own_zone()[0])
    for _ in range(6):
        shed(zone.carrier(), 't1')
        await zone.run(0.25)
        highest = max(highest, refusing(other_carrier, 't1'))
    assert highest > 0.3


def test_an_estimate_without_sheds_of_an_earlier_version_is_read():
    """Daemons of the previous version send three fields."""
    estimate = msgspec.msgpack.decode(
        msgspec.msgpack.encode(['t1', 0.5, 20]), type=messages.TargetEstimate
    )
    assert (estimate.failing, estimate.refusing) == (0.5, 0.0)
