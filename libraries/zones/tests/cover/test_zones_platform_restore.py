"""A platform that comes back from a copy which is some seconds old.

The pattern: it loses what it acknowledged since the copy. Targets that started
are missing, some that left are named again, revisions go back, and an older
configuration is shown until its writers write again.
"""

import pytest
import zones_support as support

from sardinepier.entry import confirmation, model

BOUND_S = 5.0
ERA = model.REVISIONS_PER_EPOCH


@pytest.fixture
async def zone():
    made = support.Zone()
    for one in made.daemons:
        one.held.confirmation = confirmation.Confirmation(
            made.clock,
            BOUND_S,
        )
    made.platform.configuration = support.configuration(4)
    made.platform.targets = support.target_list(100, 'stays', 'leaves')
    await made.run(3.0)
    made.platform.configuration = support.configuration(5)
    made.platform.targets = support.target_list(120, 'stays', 'starts')
    await made.run(3.0)
    return made


def restore(zone):
    """Show what the copy has, of before ``starts`` and ``leaves`` did so."""
    zone.platform.configuration = support.configuration(4)
    zone.platform.targets = support.target_list(ERA + 100, 'stays', 'leaves')


def write_again(zone):
    """Show what the operators and the targets have written again."""
    zone.platform.configuration = support.configuration(5)
    zone.platform.targets = support.target_list(
        ERA + 104,
        'stays',
        'leaves',
        'starts',
    )


async def test_targets_neither_vanish_nor_return(zone):
    restore(zone)
    for _ in range(15):
        await zone.run(0.1)
        for one in zone.daemons:
            assert one.target_names == {'stays', 'starts'}
    write_again(zone)
    for _ in range(30):
        await zone.run(0.1)
        for one in zone.daemons:
            assert one.target_names == {'stays', 'starts'}


async def test_a_target_that_is_not_written_again_is_gone(zone):
    restore(zone)
    await zone.run(4.5)
    for one in zone.daemons:
        assert one.target_names == {'stays'}


async def test_lists_of_the_restored_platform_are_taken(zone):
    restore(zone)
    await zone.run(0.5)
    zone.platform.targets = support.target_list(ERA + 110, 'stays', 'fresh')
    await zone.run(7.0)
    for one in zone.daemons:
        assert one.target_names == {'stays', 'fresh'}


async def test_one_that_was_draining_stays_so(zone):
    listed = (support.target('stays'), support.target('starts'))
    drains = support.target('starts', model.TargetState.DRAINING)
    zone.platform.targets = model.TargetList(130, (listed[0], drains))
    await zone.run(2.0)
    zone.platform.targets = model.TargetList(ERA + 100, listed)
    await zone.run(2.0)
    for one in zone.daemons:
        states = {
            target.target_id: target.state
            for target in one.held.targets.targets
        }
        assert states['starts'] is model.TargetState.DRAINING


async def test_the_configuration_never_goes_back(zone):
    restore(zone)
    for _ in range(20):
        await zone.run(0.2)
        assert {one.version for one in zone.daemons} == {5}


async def test_a_copy_confirms_nothing_until_it_is_written_again(zone):
    reader = zone.carrier()
    asked = reader.held.confirmation.age_s()
    restore(zone)
    await zone.run(1.5)
    assert reader.held.confirmation.age_s() > 1.4 + asked - 1.0
    await zone.run(3.0)
    assert reader.held.confirmation.is_valid()
    assert reader.held.confirmation.age_s() < 2.0
