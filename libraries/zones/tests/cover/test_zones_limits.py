"""Rate limits that targets state, shared by the daemons of several zones."""

import math

import pytest
import zones_support as support
from sardinepier.core import ids
from sardinepier.entry import target_record
from sardinepier.gateway import statements

TARGET = 't1'


def record_of(daemon):
    return daemon.services.pool(support.SERVICE).targets.find(
        ids.TargetId(TARGET)
    )


def apply_statement(daemon, limit_per_s, *, is_leaving=False):
    daemon.services.pool(support.SERVICE).targets.apply_statement(
        record_of(daemon),
        statements.Statement(is_leaving=is_leaving, limit_per_s=limit_per_s),
        daemon.clock.monotonic_s(),
        target_record.ObservationSource.OWN,
    )


def limits(daemons):
    return {
        record_of(daemon).statements.newest.limit_per_s for daemon in daemons
    }


def shares(daemons):
    return [record_of(daemon).statements.limit_share for daemon in daemons]


async def zones_with_a_target(*zones):
    zone = support.Zone(4, zones)
    await support.with_targets(zone, TARGET)
    return zone


@pytest.mark.parametrize('place', [0, 3, 4, 7])
async def test_a_limit_stated_to_one_daemon_reaches_all_within_a_second(place):
    """Guards against each daemon having to receive a target's limit itself.

    Requests of one service go to a hundred daemons, and one of them, a carrier
    or not, in the target's zone or not, receives the limit.
    """
    zone = await zones_with_a_target('z1', 'far')
    apply_statement(zone.daemons[place], 2.0)
    await zone.run(1.0)
    assert limits(zone.daemons) == {2.0}
    apply_statement(zone.daemons[place], None)
    await zone.run(1.0)
    assert limits(zone.daemons) == {None}


@pytest.mark.parametrize('place', [0, 3, 4, 7])
async def test_a_target_that_leaves_for_one_daemon_leaves_for_all(place):
    """Guards against each daemon having to try a leaving target itself."""
    zone = await zones_with_a_target('z1', 'far')
    apply_statement(zone.daemons[place], None, is_leaving=True)
    await zone.run(1.0)
    assert not any(map(record_of, zone.daemons))
    # A list of the platform that still contains it doesn't add it again.
    zone.platform.targets = support.target_list(2, TARGET, 't2')
    await zone.run(2.0)
    assert 't2' in zone.daemons[0].target_names
    assert not any(map(record_of, zone.daemons))


async def test_a_response_in_transit_does_not_undo_leaving():
    """Guards against a newer response that outweighs the notice of leaving.

    The response was in transit when the target began to leave, and states
    nothing.
    """
    zone = await zones_with_a_target('z1', 'far')
    apply_statement(zone.daemons[0], None, is_leaving=True)
    zone.clock.advance(0.01)
    for daemon in zone.daemons[1:]:
        apply_statement(daemon, None)
    await zone.run(1.0)
    assert not any(map(record_of, zone.daemons))


async def test_updates_of_a_leaving_target_end(monkeypatch):
    """Guards against heartbeats with all targets that ever left."""
    zone = await zones_with_a_target('z1', 'far')
    apply_statement(zone.daemons[0], None, is_leaving=True)
    await zone.run(8.0)
    sent = []
    monkeypatch.setattr(
        type(zone.daemons[0].network),
        'send',
        lambda network, peer, message: sent.append(message),
    )
    await zone.run(2.0)
    assert sent
    sent_statements = [getattr(message, 'statements', ()) for message in sent]
    assert not any(sent_statements)


async def test_a_limit_that_is_not_stated_again_expires_everywhere():
    """Guards against a limit that circulates between daemons for ever."""
    zone = await zones_with_a_target('z1', 'far')
    apply_statement(zone.daemons[0], 2.0)
    await zone.run(5.0)
    times_to_open_s = [_time_to_open_s(daemon) for daemon in zone.daemons]
    assert math.inf in times_to_open_s
    await zone.run(27.0)
    assert all(_time_to_open_s(daemon) <= 0 for daemon in zone.daemons)


@pytest.mark.parametrize('limit_per_s', [0.1, 1.0, 2.8, 50.0])
@pytest.mark.parametrize('zones', [('z1',), ('z1', 'far'), ('far', 'farther')])
async def test_the_parts_of_all_daemons_are_the_whole_limit(
    zones,
    limit_per_s,
):
    """Guards against a limit that two daemons use, or none.

    This includes targets in a zone without daemons.
    """
    zone = await zones_with_a_target(*zones)
    apply_statement(zone.daemons[1], limit_per_s)
    await zone.run(1.0)
    assert sum(shares(zone.daemons)) == pytest.approx(1.0)


async def test_another_carrier_takes_over_the_part_of_a_stopped_one():
    zone = await zones_with_a_target('z1', 'far')
    apply_statement(zone.daemons[0], 1.0)
    await zone.run(1.0)
    gone = zone.daemons[shares(zone.daemons).index(1.0)]
    zone.stop(gone)
    await zone.run(2.0)
    assert sum(shares(zone.living())) == pytest.approx(1.0)


def _time_to_open_s(daemon):
    now_s = daemon.clock.monotonic_s()
    return record_of(daemon).statements.accepts_from_s(now_s) - now_s
