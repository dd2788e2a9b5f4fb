"""Many requests fail in one zone: the targets of all zones have to be in use.

Seen: links between machines and targets were cut, so that one zone failed a third of
its requests, and a sixth failed over all. Another zone, which reached its own, left
five of fourteen doubtful targets idle: 4 of 9 sound ones had nothing for two seconds.
"""

import pytest
import zones_support as given


@pytest.fixture
def zone():
    return given.Zone(count=3, zones=('z1', 'zone2'))


def first_of(zone, daemon):
    return zone.find(daemon.carriers.of_own_zone()[0])


def recent(daemon):
    return daemon.held.pool(given.SERVICE).recent


def fail_a_third(daemon):
    for number in range(30):
        recent(daemon).note(is_failure=number % 3 == 0)


async def test_a_zone_hears_that_many_fail_in_another(zone):
    await given.with_targets(zone)
    here, there = (first_of(zone, zone.daemons[place]) for place in (0, -1))
    assert not recent(here).are_many()
    fail_a_third(there)
    await zone.run(0.5)
    assert recent(here).are_many()
    assert not recent(here).are_many_here()


async def test_it_ends_when_they_fail_no_more(zone):
    """What was heard is not told on, or two zones would keep it up."""
    await given.with_targets(zone)
    here, there = (first_of(zone, zone.daemons[place]) for place in (0, -1))
    fail_a_third(there)
    await zone.run(0.5)
    for _ in range(400):
        recent(there).note(is_failure=False)
    await zone.run(1.5)
    assert not recent(here).are_many()
    assert not recent(there).are_many()


async def test_whoever_carries_the_zone_now_hears_it(zone):
    await given.with_targets(zone)
    former, there = (first_of(zone, zone.daemons[place]) for place in (0, -1))
    former.carriers.stand_down()
    for one in zone.daemons:
        one.carriers.fitness.stands_down(former.own.instance_id)
    await zone.run(0.5)
    here = first_of(zone, zone.daemons[0])
    assert here is not former
    fail_a_third(there)
    await zone.run(0.75)
    assert recent(here).are_many()


async def test_all_carriers_of_a_zone_hear_of_another(zone):
    await given.with_targets(zone)
    given.crowd(zone, 'z1')
    await zone.run(3.0)
    carrying = [
        one
        for one in zone.daemons
        if one.own.zone == 'z1' and one.carriers.is_carrier()
    ]
    assert len(carrying) > 1
    fail_a_third(first_of(zone, zone.daemons[-1]))
    await zone.run(0.75)
    assert all(recent(one).are_many() for one in carrying)


async def test_some_more_failures_than_usual_are_not_told(zone):
    """A tenth fails by chance where targets fail by themselves."""
    await given.with_targets(zone)
    here, there = (first_of(zone, zone.daemons[place]) for place in (0, -1))
    for number in range(30):
        recent(there).note(is_failure=number % 10 == 0)
    await zone.run(0.5)
    assert recent(there).are_many()
    assert not recent(here).are_many()
