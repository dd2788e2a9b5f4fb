"""How a zone keeps up with the platform, under failures of either."""

import pytest
import zones_support as support
from sardinepier.entry import model, platform_state
from sardinepier.telemetry import logs
from sardinepier.zones import events

ONLY_T1 = frozenset((frozenset(('t1',)),))
APPLY_S = 2.0
"""Within this time a change has to be known everywhere."""


@pytest.fixture
async def zone():
    made = support.Zone()
    made.platform.configuration = support.configuration(1)
    made.platform.targets = support.target_list(1, 't1', 't2')
    await made.run(3.0)
    return made


def change(zone, version=2):
    zone.platform.configuration = support.configuration(version)
    zone.platform.targets = support.target_list(version, 't1')


async def test_all_know_what_is_published_within_the_bound(zone):
    change(zone)
    await zone.run(APPLY_S)
    for one in zone.daemons:
        assert one.version == 2
        assert one.target_names == {'t1'}


async def test_readings_are_those_of_one_daemon(zone):
    before = zone.platform.calls
    await zone.run(20.0)
    assert zone.platform.calls - before <= 24


@pytest.mark.parametrize('turned_away', [1, 2, 3])
async def test_others_read_when_the_platform_turns_the_reader_away(
    zone,
    turned_away,
):
    order = zone.carrier().carriers._order.own_zone(1)
    zone.platform.refused = {one.daemon_id for one in order[:turned_away]}
    change(zone)
    await zone.run(APPLY_S)
    assert {one.version for one in zone.daemons} == {2}


async def test_others_read_when_the_reader_dies(zone):
    zone.stop(zone.carrier())
    change(zone)
    await zone.run(APPLY_S)
    assert {one.version for one in zone.living()} == {2}


async def test_a_platform_that_is_away_is_asked_seldom(zone):
    zone.platform.refused = {one.own.daemon_id for one in zone.daemons}
    before = zone.platform.calls
    await zone.run(30.0)
    assert zone.platform.calls - before <= 100


async def test_what_was_known_stays_in_force_while_the_platform_is_away(zone):
    zone.platform.refused = {one.own.daemon_id for one in zone.daemons}
    await zone.run(20.0)
    for one in zone.daemons:
        assert one.version == 1
        assert one.target_names == {'t1', 't2'}


async def test_an_entry_that_lapsed_meanwhile_is_kept_for_a_moment(zone):
    zone.platform.refused = {one.own.daemon_id for one in zone.daemons}
    await zone.run(6.0)
    zone.platform.targets = support.target_list(2, 't1')
    zone.platform.refused = set()
    await zone.run(1.0, step_s=0.02)
    reader = next(one for one in zone.daemons if one.guard.is_own)
    # Retries are up to four seconds apart, the first one ends the outage.
    while not reader.guard.is_own or reader.held.targets.revision != 2:
        await zone.run(0.1)
    assert reader.target_names == {'t1', 't2'}
    zone.platform.targets = support.target_list(3, 't1')
    await zone.run(4.0)
    assert {frozenset(one.target_names) for one in zone.daemons} == ONLY_T1


async def test_a_failure_of_long_ago_keeps_no_target(zone):
    """Others have read since: the platform was not away.

    Were the target kept, its leaving would be known 2.2 s later.
    """
    once = next(one for one in zone.daemons if not one.guard.is_own)
    zone.platform.refused = {once.own.daemon_id}
    await once.reading._read(allow_stale=False)
    zone.platform.refused = set()
    await zone.run(3.0)
    zone.platform.targets = support.target_list(2, 't1')
    zone.platform.refused = {
        one.own.daemon_id for one in zone.daemons if one is not once
    }
    zone.clock.advance(2.0)
    await zone.run(0.2)
    assert once.guard.is_own
    assert once.target_names == {'t1'}


async def test_a_daemon_that_starts_keeps_no_target_that_is_gone(zone):
    """Its first reading may be old, and is no sign of an outage."""
    change(zone)
    await zone.run(APPLY_S)
    newcomer = support.Daemon(zone, support.member(77))
    newcomer.held.offer_targets(support.target_list(1, 't1', 't2'))
    fresh = zone.platform.targets
    now_s = zone.clock.monotonic_s()
    newcomer.sharing.take_targets(fresh, asked_s=now_s)
    assert newcomer.target_names == {'t1'}


async def test_after_an_outage_no_older_start_is_kept(zone):
    """One that is listed anew, or unreadable, has not merely lapsed."""
    held = model.TargetList(
        1,
        tuple(
            support.target(f'{name}@1', name=name, born_ms=1)
            for name in ('t1', 't2', 't3')
        ),
    )
    fresh = model.TargetList(
        2,
        (support.target('t1@2', name='t1', born_ms=2),),
    )
    guard = zone.daemons[0].guard
    began_s = zone.clock.monotonic_s()
    guard.complete(None, held, asked_s=began_s)
    zone.clock.advance(5.0)
    guard.failed()
    complete = guard.complete(
        held,
        fresh,
        asked_s=zone.clock.monotonic_s(),
        unusable={'t2'},
    )
    assert [one.target_id for one in complete.targets] == ['t1@2', 't3@1']


async def test_a_list_is_as_old_as_the_question_to_the_platform(zone):
    guard = support.expired_entries.ExpiredEntryGuard(zone.clock)
    guard.heard(0.4)
    assert guard.age_s() == pytest.approx(0.4)
    guard.heard(0.9)
    assert guard.age_s() == pytest.approx(0.4)
    zone.clock.advance(1.0)
    asked_s = zone.clock.monotonic_s() - 0.3
    guard.complete(None, zone.platform.targets, asked_s=asked_s)
    assert guard.age_s() == pytest.approx(0.3)
    assert guard.is_own


async def test_an_unusable_entry_is_told_once(zone, monkeypatch):
    told = []
    monkeypatch.setattr(logs, 'write', lambda line, **_: told.append(line))
    change(zone)
    zone.platform.unusable = (
        platform_state.UnusableEntry('servers/t9', 'not json', 't9'),
    )
    await zone.run(5.0)
    readers = [
        one for one in zone.daemons if one.reading.unusable_entries.count
    ]
    assert readers
    assert told.count(
        events.EntryUnusable(key='servers/t9', what='not json')
    ) == len(readers)
    zone.platform.unusable = ()
    await zone.run(2.0)
    assert events.EntryUsable(key='servers/t9') in told


async def test_an_older_reading_changes_nothing(zone):
    change(zone, version=5)
    await zone.run(APPLY_S)
    change(zone, version=3)
    await zone.run(APPLY_S)
    assert {one.version for one in zone.daemons} == {5}
    assert {one.held.targets.revision for one in zone.daemons} == {5}


async def test_lost_messages_delay_but_don_t_prevent(zone):
    zone.hub.faults = support.memory_network.LinkFaults(loss=0.3)
    change(zone)
    await zone.run(4.0)
    assert {one.version for one in zone.daemons} == {2}
    assert {frozenset(one.target_names) for one in zone.daemons} == ONLY_T1


async def test_a_draining_target_is_known_within_the_bound(zone):
    zone.platform.targets = model.TargetList(
        2,
        (
            support.target('t1'),
            support.target('t2', model.TargetState.DRAINING),
        ),
    )
    await zone.run(APPLY_S)
    for one in zone.daemons:
        records = one.held.pool(support.SERVICE).targets.records()
        assert [record.listed.target_id for record in records] == ['t1']


async def test_daemons_that_start_together_don_t_all_read():
    """Seen: 586 starts of 293 daemons made 2,400 calls, a fiftieth of a day's worth.

    Until it knows the others of its zone each takes itself for the one that
    reads. What it may read at a tenth of the price lets it serve meanwhile.
    """
    zone = support.Zone(count=12)
    zone.fleet.has_met = False
    zone.platform.configuration = support.configuration(1)
    zone.platform.targets = support.target_list(1, 't1')
    await zone.run(0.5)
    assert all(one.target_names == {'t1'} for one in zone.daemons)
    zone.fleet.meet()
    await zone.run(2.5)
    assert 1 <= zone.platform.fresh_calls <= 4


async def test_one_that_meets_nobody_reads_soon():
    zone = support.Zone(count=1)
    zone.platform.configuration = support.configuration(1)
    zone.platform.targets = support.target_list(1, 't1')
    await zone.run(1.5)
    assert zone.platform.fresh_calls >= 1
