"""The limits that targets name, over the daemons of several zones."""

import math

import pytest
import zones_support as support
from sardinepier.core import ids
from sardinepier.entry import target_record
from sardinepier.gateway import statements

TARGET = 't1'


def record_of(daemon):
    return daemon.held.pool(support.SERVICE).targets.find(ids.TargetId(TARGET))


def hear(daemon, limit_per_s, *, is_leaving=False):
    daemon.held.pool(support.SERVICE).targets.apply_statement(
        record_of(daemon),
        statements.Statement(is_leaving=is_leaving, limit_per_s=limit_per_s),
        daemon.clock.monotonic_s(),
        target_record.ObservationSource.OWN,
    )


def limits(daemons):
    return {record_of(one).statements.newest.limit_per_s for one in daemons}


def parts(daemons):
    return [record_of(one).statements.part for one in daemons]


async def zones_with_a_target(*zones):
    zone = support.Zone(4, zones)
    await support.with_targets(zone, TARGET)
    return zone


@pytest.mark.parametrize('place', [0, 3, 4, 7])
async def test_what_one_daemon_is_told_all_know_within_a_second(place):
    """Guards against each of many daemons that meets a target's limit anew.

    The pattern: requests of one service come to a hundred daemons, and one of
    them, a carrier or not, of the target's zone or not, hears the limit.
    """
    zone = await zones_with_a_target('z1', 'far')
    hear(zone.daemons[place], 2.0)
    await zone.run(1.0)
    assert limits(zone.daemons) == {2.0}
    hear(zone.daemons[place], None)
    await zone.run(1.0)
    assert limits(zone.daemons) == {None}


@pytest.mark.parametrize('place', [0, 3, 4, 7])
async def test_what_leaves_for_one_daemon_leaves_for_all(place):
    """Guards against each daemon that has to meet a leaving target itself."""
    zone = await zones_with_a_target('z1', 'far')
    hear(zone.daemons[place], None, is_leaving=True)
    await zone.run(1.0)
    assert not any(map(record_of, zone.daemons))
    # A list of the platform that still has it undoes nothing.
    zone.platform.targets = support.target_list(2, TARGET, 't2')
    await zone.run(2.0)
    assert 't2' in zone.daemons[0].target_names
    assert not any(map(record_of, zone.daemons))


async def test_an_answer_that_crossed_the_news_does_not_undo_leaving():
    """Guards against news of a leaving target that a newer answer outweighs.

    The answer was on its way when the target began to leave, and names nothing.
    """
    zone = await zones_with_a_target('z1', 'far')
    hear(zone.daemons[0], None, is_leaving=True)
    zone.clock.advance(0.01)
    for one in zone.daemons[1:]:
        hear(one, None)
    await zone.run(1.0)
    assert not any(map(record_of, zone.daemons))


async def test_news_of_a_leaving_target_end(monkeypatch):
    """Guards against news of each target that ever left in each beat."""
    zone = await zones_with_a_target('z1', 'far')
    hear(zone.daemons[0], None, is_leaving=True)
    await zone.run(8.0)
    sent = []
    monkeypatch.setattr(
        type(zone.daemons[0].network),
        'send',
        lambda network, peer, message: sent.append(message),
    )
    await zone.run(2.0)
    assert sent
    news = [getattr(one, 'stated', ()) for one in sent]
    assert not any(news)


async def test_a_limit_that_nobody_hears_again_lapses_everywhere():
    """Guards against news of a limit that goes round in circles for ever."""
    zone = await zones_with_a_target('z1', 'far')
    hear(zone.daemons[0], 2.0)
    await zone.run(5.0)
    opens = [_opens_in_s(one) for one in zone.daemons]
    assert math.inf in opens
    await zone.run(27.0)
    assert all(_opens_in_s(one) <= 0 for one in zone.daemons)


@pytest.mark.parametrize('limit_per_s', [0.1, 1.0, 2.8, 50.0])
@pytest.mark.parametrize('zones', [('z1',), ('z1', 'far'), ('far', 'farther')])
async def test_the_parts_of_all_daemons_are_the_whole_limit(
    zones,
    limit_per_s,
):
    """Guards against a limit that two daemons use, or none, also without a
    daemon in the target's zone.
    """
    zone = await zones_with_a_target(*zones)
    hear(zone.daemons[1], limit_per_s)
    await zone.run(1.0)
    assert sum(parts(zone.daemons)) == pytest.approx(1.0)


async def test_another_carrier_takes_over_the_part_of_one_that_is_gone():
    zone = await zones_with_a_target('z1', 'far')
    hear(zone.daemons[0], 1.0)
    await zone.run(1.0)
    gone = zone.daemons[parts(zone.daemons).index(1.0)]
    zone.stop(gone)
    await zone.run(2.0)
    assert sum(parts(zone.living())) == pytest.approx(1.0)


def _opens_in_s(daemon):
    now_s = daemon.clock.monotonic_s()
    return record_of(daemon).statements.opens_at_s(now_s) - now_s
