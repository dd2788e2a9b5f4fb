"""Several hundred daemons that start at once, each with three seed addresses.

After a power loss, a daemon that does not yet know the other daemons of its zone
considers itself the carrier, names itself to callers and reads the platform.
Without a fast start, half of 293 daemons did so for 2.5 s and some for 9 s, and
callers were served late for 6 s.
"""

import dataclasses
import functools

import pytest

from sardinepier.membership import options

_SIZE = 293
_ZONES = 5
_BYTES_PER_S = 29_000
"""Limit on the control traffic that one daemon sends."""

_STEP_S = 0.25


@functools.cache
def start_fleet(new_fleet):
    """Return a fleet, and each daemon's member count per step of its start."""
    fleet = new_fleet(
        _SIZE, zones=_ZONES, zone_peers=3, **fast_start_overrides()
    )
    known = []
    for _ in range(20):
        fleet.run_for(_STEP_S)
        known.append(
            [len(daemon.members()) for daemon in fleet.running.values()]
        )
    return fleet, known


@pytest.fixture
def started(new_fleet):
    return start_fleet(new_fleet)


def known_counts_after(known, seconds):
    return sorted(known[round(seconds / _STEP_S) - 1])


def test_half_of_the_daemons_know_half_of_the_fleet_within_1_s(started):
    assert known_counts_after(started[1], 1.0)[_SIZE // 2] >= _SIZE / 2


def test_every_daemon_knows_several_members_after_1_5_s(started):
    assert known_counts_after(started[1], 1.5)[0] > _ZONES


def test_most_daemons_know_most_of_the_fleet_within_5_s(started):
    known = known_counts_after(started[1], 5.0)
    assert known[_SIZE // 50] >= 0.95 * _SIZE


def test_mean_send_rate_of_the_start_is_within_the_limit(started):
    sent_bytes = [count for _, count in started[0].sent()]
    seconds = _STEP_S * len(started[1])
    assert max(sent_bytes) <= _BYTES_PER_S * seconds


def test_fast_start_costs_no_more_once_views_have_converged(new_fleet):
    slow = new_fleet(24)
    fast = new_fleet(24, **fast_start_overrides())
    spent = []
    for fleet in (slow, fast):
        fleet.ticks_until(fleet.agree, limit=40)
        fleet.tick(20)
        before = sum(count for _, count in fleet.sent())
        fleet.tick(20)
        spent.append(sum(count for _, count in fleet.sent()) - before)
    assert spent[1] <= 1.1 * spent[0]


def fast_start_overrides():
    """Return the options of ``FAST_START`` that differ from the defaults."""
    plain = dataclasses.asdict(options.MembershipOptions())
    fast = dataclasses.asdict(options.FAST_START)
    return {name: fast[name] for name in fast if fast[name] != plain[name]}
