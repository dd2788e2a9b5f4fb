"""Which daemons carry a zone."""

import pytest
import zones_support as support
from sardinepier.membership import capacity
from sardinepier.zones import availability, strength


@pytest.fixture
def zone():
    return support.Zone(count=6)


async def test_all_name_the_same_carrier(zone):
    await zone.run(2.0)
    named = {one.carriers.of_own_zone() for one in zone.daemons}
    assert len(named) == 1
    assert [one.carriers.is_carrier() for one in zone.daemons].count(True) == 1


async def test_places_are_all_different(zone):
    await zone.run(2.0)
    places = sorted(one.carriers.own_rank() for one in zone.daemons)
    assert places == list(range(6))


async def test_a_carrier_that_falls_silent_is_passed_over(zone):
    await zone.run(2.0)
    gone = zone.carrier()
    zone.stop(gone)
    await zone.run(1.2)
    for one in zone.living():
        assert gone.own not in one.carriers.of_own_zone()
        assert one.carriers.own_rank() < 5


async def test_one_takes_over_and_keeps_it_while_it_beats(zone):
    await zone.run(2.0)
    zone.stop(zone.carrier())
    await zone.run(2.5)
    first = {one.carriers.of_own_zone() for one in zone.living()}
    await zone.run(3.0)
    later = {one.carriers.of_own_zone() for one in zone.living()}
    assert first == later
    assert len(later) == 1


async def test_two_that_fall_silent_together_are_passed_over(zone):
    await zone.run(2.0)
    order = zone.carrier().carriers._order.own_zone(1)
    for gone in order[:2]:
        zone.stop(zone.find(gone))
    await zone.run(2.5)
    for one in zone.living():
        assert one.carriers.of_own_zone()[0] not in order[:2]


async def test_a_carrier_that_comes_back_carries_again(zone):
    await zone.run(2.0)
    gone = zone.carrier()
    zone.stop(gone)
    await zone.run(2.0)
    zone.stopped.clear()
    await zone.run(1.0)
    assert {one.carriers.of_own_zone()[0] for one in zone.daemons} == {gone.own}


async def test_a_zone_without_daemons_is_carried_by_the_others():
    zone = support.Zone(count=3, zones=('z1', 'zone2'))
    gone = tuple(own for own in zone.fleet.known if own.zone == 'zone2')
    for one in gone:
        zone.fleet.drop(one)
    found = zone.daemons[0].carriers.of_zone('zone2')
    assert found == zone.daemons[0].carriers.of_zone('z1')
    assert found


async def test_a_carrier_cut_off_from_targets_hands_its_zone_over(zone):
    await support.with_targets(zone)
    cut_off = zone.carrier()
    lose_way(cut_off, 't1', 't2')
    await zone.run(0.5)
    named = {one.carriers.of_own_zone() for one in zone.daemons}
    assert len(named) == 1
    assert cut_off.own not in named.pop()
    assert not cut_off.carriers.is_carrier()


async def test_what_a_carrier_cannot_reach_is_no_evidence_for_others(zone):
    await support.with_targets(zone)
    before = support.failing(zone.daemons[0], 't1')
    lose_way(zone.carrier(), 't1', 't2')
    await zone.run(0.5)
    for one in zone.daemons:
        assert support.failing(one, 't1') <= before


async def test_a_carrier_that_handed_over_comes_back(zone):
    await support.with_targets(zone)
    cut_off = zone.carrier()
    lose_way(cut_off, 't1', 't2')
    await zone.run(0.5)
    find_way(cut_off, 't1', 't2')
    await zone.run(availability.STANDS_DOWN_S + 1)
    for one in zone.daemons:
        assert one.carriers.of_own_zone() == (cut_off.own,)


async def test_a_zone_that_nobody_serves_better_hands_over_seldom(zone):
    """Such as when the targets themselves are gone."""
    await support.with_targets(zone)
    first = zone.carrier()
    for daemon in zone.daemons:
        lose_way(daemon, 't1', 't2')
    named = set()
    for _ in range(16):
        await zone.run(0.5)
        named |= {one.carriers.of_own_zone() for one in zone.daemons}
    assert len(named) == 1
    assert first.own not in named.pop()


async def test_one_target_out_of_reach_is_no_reason(zone):
    await support.with_targets(zone)
    first = zone.carrier()
    lose_way(first, 't1')
    await zone.run(0.5)
    named = {one.carriers.of_own_zone() for one in zone.daemons}
    assert named == {(first.own,)}


async def test_one_connection_each_is_no_reason(zone):
    """Over a link that loses packets that happens now and then."""
    await support.with_targets(zone)
    first = zone.carrier()
    lose_way(first, 't1', 't2', times=1)
    await zone.run(0.5)
    named = {one.carriers.of_own_zone() for one in zone.daemons}
    assert named == {(first.own,)}


async def test_targets_that_are_known_to_fail_are_no_reason(zone):
    await support.with_targets(zone)
    first = zone.carrier()
    for name in ('t1', 't2'):
        support.fail(first, name)
    lose_way(first, 't1', 't2')
    await zone.run(0.5)
    named = {one.carriers.of_own_zone() for one in zone.daemons}
    assert named == {(first.own,)}


async def test_a_lost_notice_of_a_handover_is_made_up_for(zone):
    """The others miss the beats of the one that handed over."""
    await support.with_targets(zone)
    cut_off = zone.carrier()
    lose_way(cut_off, 't1', 't2')
    for one in zone.daemons:
        zone.hub.cut(cut_off.own.peer_address, one.own.peer_address)
    await zone.run(1.5)
    for one in zone.daemons:
        assert one.carriers.of_own_zone()[0] is not cut_off.own


async def test_more_traffic_gets_more_carriers(zone):
    await support.with_targets(zone)
    support.crowd(zone, 'z1')
    await zone.run(1.0)
    counts = {one.carriers.count for one in zone.daemons}
    assert len(counts) == 1
    assert counts.pop() > 1
    assert (
        sum(one.carriers.is_carrier() for one in zone.daemons)
        == zone.daemons[0].carriers.count
    )


async def test_less_traffic_needs_fewer_after_a_while(zone):
    await support.with_targets(zone)
    support.crowd(zone, 'z1')
    await zone.run(1.0)
    for one in zone.daemons:
        one.per_s = 0
    await zone.run(60.0)
    assert {one.carriers.count for one in zone.daemons} == {1}


async def test_who_takes_over_keeps_the_number(zone):
    await support.with_targets(zone)
    support.crowd(zone, 'z1')
    # Until the measured rate is all that there is, and the number with it.
    await zone.run(2.0)
    before = zone.daemons[0].carriers.count
    for one in zone.daemons:
        one.per_s = 80
    zone.stop(zone.carrier())
    await zone.run(1.5)
    assert {one.carriers.count for one in zone.living()} == {before}


def lose_way(daemon, *names, times=2):
    for name in names:
        record = daemon.held.pool(support.SERVICE).targets.find(name)
        for _ in range(times):
            record.mark_unreachable(daemon.clock.monotonic_s())


def find_way(daemon, *names):
    for name in names:
        daemon.held.pool(support.SERVICE).targets.find(name).mark_reachable()


async def test_the_strongest_carry_and_others_only_without_them(zone):
    """Unequal machines: links and processors differ by a factor of five."""
    strong = capacity.Capacity(2150, 100_000)
    weak = capacity.Capacity(430, 5_000)
    zone = support.Zone(count=0)
    zone.fleet.known = [
        support.member(number, able=strong if number in {3, 7} else weak)
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
    left = {one.carriers.of_own_zone()[0].capacity for one in zone.living()}
    assert left == {weak}


def test_small_differences_of_strength_change_no_order():
    ranks = {
        strength.rank(capacity.Capacity(millis, 1_000_000))
        for millis in (840, 860, 900)
    }
    assert len(ranks) == 1


@pytest.mark.parametrize(
    ('processor_millis', 'link_kbit_per_s'),
    [(1, 1), (2_000_000_000, 1), (1, 2_000_000_000)],
)
def test_any_capacity_has_a_place(processor_millis, link_kbit_per_s):
    able = capacity.Capacity(processor_millis, link_kbit_per_s)
    assert isinstance(strength.rank(able), int)
