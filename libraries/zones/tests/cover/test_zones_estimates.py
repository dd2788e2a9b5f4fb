"""What daemons of a zone, and of other zones, tell each other of targets."""

import pytest
import zones_support as support
from sardinepier.wire import memory_network


@pytest.fixture
def zone():
    return support.Zone(count=6)


async def test_a_failure_seen_beside_the_carrier_reaches_it(zone):
    await support.with_targets(zone)
    beside = next(one for one in zone.daemons if not one.carriers.is_carrier())
    support.fail(beside, 't1')
    await zone.run(0.5)
    assert support.failing(zone.carrier(), 't1') > 0.5


async def test_a_failure_seen_by_the_carrier_reaches_its_zone(zone):
    await support.with_targets(zone)
    support.fail(zone.carrier(), 't1')
    await zone.run(0.5)
    assert all(support.failing(one, 't1') > 0.5 for one in zone.daemons)


async def test_a_failure_reaches_the_carriers_of_other_zones():
    zone = support.Zone(count=3, zones=('z1', 'zone2'))
    await support.with_targets(zone)
    support.fail(zone.carrier(), 't1')
    await zone.run(1.0)
    other = zone.find(zone.daemons[-1].carriers.of_own_zone()[0])
    assert support.failing(other, 't1') > 0.5


async def test_a_target_that_fails_again_is_told_of_again():
    """What other zones were told fades; how many are idle goes by it."""
    zone = support.Zone(count=3, zones=('z1', 'zone2'))
    await support.with_targets(zone)
    # Failures that come at once make all but sure, both times alike.
    zone.carrier().held.pool(support.SERVICE).typical_latency_s = 0.2
    support.fail(zone.carrier(), 't1')
    await zone.run(3.0)
    support.fail(zone.carrier(), 't1')
    again_s = zone.clock.monotonic_s()
    await zone.run(1.0)
    other = zone.find(zone.daemons[-1].carriers.of_own_zone()[0])
    record = other.held.pool(support.SERVICE).targets.find('t1')
    assert record.estimate.updated_s == pytest.approx(again_s, abs=0.3)


async def test_what_was_seen_later_is_believed(zone):
    await support.with_targets(zone)
    carrier = zone.carrier()
    beside = next(one for one in zone.daemons if one is not carrier)
    support.fail(beside, 't1')
    zone.clock.advance(0.01)
    pool = carrier.held.pool(support.SERVICE)
    pool.answered(pool.targets.find('t1'), 0.1)
    told = support.failing(carrier, 't1')
    await zone.run(0.5)
    assert support.failing(carrier, 't1') == pytest.approx(told, abs=0.05)


async def test_what_one_zone_tells_reaches_all_carriers_of_the_other():
    zone = support.Zone(count=4, zones=('z1', 'zone2'))
    await support.with_targets(zone)
    support.crowd(zone, 'zone2')
    await zone.run(1.0)
    support.fail(zone.carrier(), 't1')
    await zone.run(1.5)
    carriers_there = [
        one
        for one in zone.daemons
        if one.own.zone == 'zone2' and one.carriers.is_carrier()
    ]
    assert len(carriers_there) > 1
    for one in carriers_there:
        assert support.failing(one, 't1') > 0.4


async def test_news_does_not_grow_younger_on_its_way(zone):
    """Each daemon passes on what it saw, not what it heard."""
    await support.with_targets(zone)
    zone.hub.faults = memory_network.LinkFaults(delay_s=0.05)
    support.fail(zone.carrier(), 't1')
    seen_s = zone.clock.monotonic_s()
    await zone.run(3.0)
    for one in zone.daemons:
        record = one.held.pool(support.SERVICE).targets.find('t1')
        assert record.estimate.updated_s == pytest.approx(seen_s, abs=0.3)


async def test_a_target_nobody_asked_is_no_news(zone):
    """The general belief of a daemon that starts late replaces no outcome."""
    await support.with_targets(zone)
    late = next(one for one in zone.daemons if not one.carriers.is_carrier())
    support.fail(zone.carrier(), 't1')
    told = support.failing(zone.carrier(), 't1')
    zone.clock.advance(0.01)
    late.held.pool(support.SERVICE).set_targets([])
    late.held.pool(support.SERVICE).set_targets([support.target('t1')])
    await zone.run(0.5)
    assert support.failing(zone.carrier(), 't1') == pytest.approx(
        told, abs=0.05
    )
