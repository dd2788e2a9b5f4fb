"""Selection of the carriers of a zone, and handovers."""

import pytest
import zones_support as support
from sardinepier.membership import capacity
from sardinepier.zones import availability, strength


@pytest.fixture
def zone():
    return support.Zone(count=6)


async def test_all_daemons_select_the_same_carrier(zone):
    await zone.run(2.0)
    selections = {daemon.carriers.of_own_zone() for daemon in zone.daemons}
    assert len(selections) == 1
    assert [daemon.carriers.is_carrier() for daemon in zone.daemons].count(
        True
    ) == 1


async def test_places_are_all_different(zone):
    await zone.run(2.0)
    places = sorted(daemon.carriers.own_rank() for daemon in zone.daemons)
    assert places == list(range(6))


async def test_a_silent_carrier_is_replaced(zone):
    await zone.run(2.0)
    gone = zone.carrier()
    zone.stop(gone)
    await zone.run(1.2)
    for daemon in zone.living():
        assert gone.own not in daemon.carriers.of_own_zone()
        assert daemon.carriers.own_rank() < 5


async def test_a_successor_stays_carrier_while_it_sends_heartbeats(zone):
    await zone.run(2.0)
    zone.stop(zone.carrier())
    await zone.run(2.5)
    first = {daemon.carriers.of_own_zone() for daemon in zone.living()}
    await zone.run(3.0)
    later = {daemon.carriers.of_own_zone() for daemon in zone.living()}
    assert first == later
    assert len(later) == 1


async def test_two_carriers_that_become_silent_together_are_replaced(zone):
    await zone.run(2.0)
    order = zone.carrier().carriers._order.own_zone(1)
    for gone in order[:2]:
        zone.stop(zone.find(gone))
    await zone.run(2.5)
    for daemon in zone.living():
        assert daemon.carriers.of_own_zone()[0] not in order[:2]


async def test_a_returning_carrier_carries_again(zone):
    await zone.run(2.0)
    gone = zone.carrier()
    zone.stop(gone)
    await zone.run(2.0)
    zone.stopped.clear()
    await zone.run(1.0)
    assert {daemon.carriers.of_own_zone()[0] for daemon in zone.daemons} == {
        gone.own
    }


async def test_a_zone_without_daemons_is_carried_by_the_others():
    zone = support.Zone(count=3, zones=('z1', 'zone2'))
    gone = tuple(own for own in zone.fleet.known if own.zone == 'zone2')
    for member in gone:
        zone.fleet.drop(member)
    found = zone.daemons[0].carriers.of_zone('zone2')
    assert found == zone.daemons[0].carriers.of_zone('z1')
    assert found


async def test_a_carrier_that_can_t_reach_targets_hands_its_zone_over(zone):
    await support.with_targets(zone)
    cut_off = zone.carrier()
    make_unreachable(cut_off, 't1', 't2')
    await zone.run(0.5)
    selections = {daemon.carriers.of_own_zone() for daemon in zone.daemons}
    assert len(selections) == 1
    assert cut_off.own not in selections.pop()
    assert not cut_off.carriers.is_carrier()


async def test_unreachable_targets_of_a_carrier_are_no_evidence_for_others(
    zone,
):
    await support.with_targets(zone)
    before = support.failing(zone.daemons[0], 't1')
    make_unreachable(zone.carrier(), 't1', 't2')
    await zone.run(0.5)
    for daemon in zone.daemons:
        assert support.failing(daemon, 't1') <= before


async def test_a_carrier_that_handed_over_comes_back(zone):
    await support.with_targets(zone)
    cut_off = zone.carrier()
    make_unreachable(cut_off, 't1', 't2')
    await zone.run(0.5)
    make_reachable(cut_off, 't1', 't2')
    await zone.run(availability.HANDOVER_PAUSE_S + 1)
    for daemon in zone.daemons:
        assert daemon.carriers.of_own_zone() == (cut_off.own,)


async def test_a_zone_without_a_better_daemon_hands_over_seldom(zone):
    """No daemon reaches the targets, such as when they are gone."""
    await support.with_targets(zone)
    first = zone.carrier()
    for cut_off in zone.daemons:
        make_unreachable(cut_off, 't1', 't2')
    selections = set()
    for _ in range(16):
        await zone.run(0.5)
        selections |= {daemon.carriers.of_own_zone() for daemon in zone.daemons}
    assert len(selections) == 1
    assert first.own not in selections.pop()


async def test_one_unreachable_target_causes_no_handover(zone):
    await support.with_targets(zone)
    first = zone.carrier()
    make_unreachable(first, 't1')
    await zone.run(0.5)
    selections = {daemon.carriers.of_own_zone() for daemon in zone.daemons}
    assert selections == {(first.own,)}


async def test_single_connection_timeouts_cause_no_handover(zone):
    """Single timeouts occur on any link that loses packets."""
    await support.with_targets(zone)
    first = zone.carrier()
    make_unreachable(first, 't1', 't2', times=1)
    await zone.run(0.5)
    selections = {daemon.carriers.of_own_zone() for daemon in zone.daemons}
    assert selections == {(first.own,)}


async def test_failing_targets_cause_no_handover(zone):
    await support.with_targets(zone)
    first = zone.carrier()
    for name in ('t1', 't2'):
        support.fail(first, name)
    make_unreachable(first, 't1', 't2')
    await zone.run(0.5)
    selections = {daemon.carriers.of_own_zone() for daemon in zone.daemons}
    assert selections == {(first.own,)}


async def test_a_lost_handover_message_does_not_keep_the_carrier(zone):
    """The other daemons notice the missing heartbeats instead."""
    await support.with_targets(zone)
    cut_off = zone.carrier()
    make_unreachable(cut_off, 't1', 't2')
    for daemon in zone.daemons:
        zone.hub.cut(cut_off.own.peer_address, daemon.own.peer_address)
    await zone.run(1.5)
    for daemon in zone.daemons:
        assert daemon.carriers.of_own_zone()[0] is not cut_off.own


async def test_more_traffic_gets_more_carriers(zone):
    await support.with_targets(zone)
    support.overload(zone, 'z1')
    await zone.run(1.0)
    counts = {daemon.carriers.count for daemon in zone.daemons}
    assert len(counts) == 1
    assert counts.pop() > 1
    assert (
        sum(daemon.carriers.is_carrier() for daemon in zone.daemons)
        == zone.daemons[0].carriers.count
    )


async def test_less_traffic_needs_fewer_after_a_while(zone):
    await support.with_targets(zone)
    support.overload(zone, 'z1')
    await zone.run(1.0)
    for daemon in zone.daemons:
        daemon.per_s = 0
    await zone.run(60.0)
    assert {daemon.carriers.count for daemon in zone.daemons} == {1}


async def test_a_successor_keeps_the_number_of_carriers(zone):
    await support.with_targets(zone)
    support.overload(zone, 'z1')
    # Until the measured rate, and the number of carriers, have settled.
    await zone.run(2.0)
    before = zone.daemons[0].carriers.count
    for daemon in zone.daemons:
        daemon.per_s = 80
    zone.stop(zone.carrier())
    await zone.run(1.5)
    assert {daemon.carriers.count for daemon in zone.living()} == {before}


def make_unreachable(daemon, *names, times=2):
    for name in names:
        record = daemon.services.pool(support.SERVICE).targets.find(name)
        for _ in range(times):
            record.mark_unreachable(daemon.clock.monotonic_s())


def make_reachable(daemon, *names):
    for name in names:
        daemon.services.pool(support.SERVICE).targets.find(
            name
        ).mark_reachable()


async def test_weak_daemons_carry_only_without_strong_ones(zone):
    """Instances with links and processors that differ by a factor of five."""
    strong = capacity.Capacity(2150, 100_000)
    weak = capacity.Capacity(430, 5_000)
    zone = support.Zone(count=0)
    zone.fleet.known = [
        support.member(
            number, instance_capacity=strong if number in {3, 7} else weak
        )
        for number in range(12)
    ]
    zone.daemons = [support.Daemon(zone, own) for own in zone.fleet.known]
    await zone.run(1.0)
    first, second = zone.daemons[0].carriers._order.own_zone(2)[:2]
    assert {first.capacity, second.capacity} == {strong}
    for gone in (first, second):
        zone.stop(zone.find(gone))
        zone.fleet.drop(gone)
    await zone.run(1.5)
    left = {
        daemon.carriers.of_own_zone()[0].capacity for daemon in zone.living()
    }
    assert left == {weak}


def test_small_differences_of_strength_keep_the_order():
    ranks = {
        strength.rank(capacity.Capacity(millis, 1_000_000))
        for millis in (840, 860, 900)
    }
    assert len(ranks) == 1


@pytest.mark.parametrize(
    ('processor_millis', 'link_kbit_per_s'),
    [(1, 1), (2_000_000_000, 1), (1, 2_000_000_000)],
)
def test_any_capacity_has_a_rank(processor_millis, link_kbit_per_s):
    instance_capacity = capacity.Capacity(processor_millis, link_kbit_per_s)
    assert isinstance(strength.rank(instance_capacity), int)
