"""Some hundred daemons that all start at once, each with three addresses.

Seen after a loss of power: until a daemon knows the others of its zone it takes
itself for the one that carries it, names itself to callers and reads the platform.
Half of 293 did so for 2.5 s, some for 9 s, and callers were served late for 6 s.
"""

import dataclasses
import functools

import pytest

from sardinepier.membership import options

_SIZE = 293
_ZONES = 5
_BYTES_PER_S = 29_000
"""What the users allow a daemon for control."""

_STEP_S = 0.25


@functools.cache
def play(new_fleet):
    """Return a fleet, and how many each knew in steps of its first seconds."""
    fleet = new_fleet(_SIZE, zones=_ZONES, zone_peers=3, **changed())
    known = []
    for _ in range(20):
        fleet.run_for(_STEP_S)
        known.append([len(one.members()) for one in fleet.running.values()])
    return fleet, known


@pytest.fixture
def started(new_fleet):
    return play(new_fleet)


def after(known, seconds):
    return sorted(known[round(seconds / _STEP_S) - 1])


def test_half_of_them_know_half_of_the_others_within_a_second(started):
    assert after(started[1], 1.0)[_SIZE // 2] >= _SIZE / 2


def test_nobody_takes_itself_for_the_only_one_after_a_second_and_a_half(
    started,
):
    assert after(started[1], 1.5)[0] > _ZONES


def test_nearly_all_know_nearly_all_within_five_seconds(started):
    known = after(started[1], 5.0)
    assert known[_SIZE // 50] >= 0.95 * _SIZE


def test_the_start_costs_no_more_than_control_may_in_the_mean(started):
    sent_bytes = [count for _, count in started[0].sent()]
    seconds = _STEP_S * len(started[1])
    assert max(sent_bytes) <= _BYTES_PER_S * seconds


def test_once_all_are_known_it_costs_what_it_did(new_fleet):
    slow = new_fleet(24)
    fast = new_fleet(24, **changed())
    spent = []
    for fleet in (slow, fast):
        fleet.ticks_until(fleet.agree, limit=40)
        fleet.tick(20)
        before = sum(count for _, count in fleet.sent())
        fleet.tick(20)
        spent.append(sum(count for _, count in fleet.sent()) - before)
    assert spent[1] <= 1.1 * spent[0]


def changed():
    """Return what the options of a fast start set otherwise."""
    plain = dataclasses.asdict(options.MembershipOptions())
    fast = dataclasses.asdict(options.FAST_START)
    return {name: fast[name] for name in fast if fast[name] != plain[name]}
