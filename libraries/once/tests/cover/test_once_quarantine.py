"""Requests that crash targets are held back, innocent ones are not."""

import pytest

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.once import errors, marks, quarantine

POISON = 13
POPULAR = 7
OPTIONS = quarantine.QuarantineOptions(
    mark_s=60,
    hold_s=15,
    trial_s=10,
    capacity=8,
    reported_marks=3,
)
PEER = ids.InstanceId('d2~0000000000000000')


def lose(held, fingerprint, *targets, healthy=True):
    return [
        held.crashed(fingerprint, ids.TargetId(name), healthy)
        for name in targets
    ]


def is_held(held, fingerprint):
    try:
        held.admit(fingerprint)
    except errors.QuarantinedError as error:
        assert error.retry_after_s > 0
        return True
    return False


@pytest.fixture
def clock():
    return clocks.ManualClock(100)


@pytest.fixture
def held(clock):
    return quarantine.Quarantine(clock, OPTIONS)


def test_the_second_target_is_the_last(held):
    assert lose(held, POISON, 'a') == [False]
    assert not is_held(held, POISON)
    assert lose(held, POISON, 'b') == [True]
    assert is_held(held, POISON)
    assert not is_held(held, POPULAR)
    assert held.quarantined() == (marks.CrashMark(POISON, ('a', 'b'), 15),)


def test_the_same_target_twice_is_not_enough(held):
    assert not any(lose(held, POISON, 'a', 'a', 'a'))


def test_after_a_loss_it_goes_one_at_a_time(held, clock):
    lose(held, POISON, 'a')
    assert [is_held(held, POISON) for _ in range(3)] == [False, True, True]
    held.released(POISON)
    assert not is_held(held, POISON)
    clock.advance(10)
    assert not is_held(held, POISON)


def test_it_is_tried_again_later_and_held_for_longer(held, clock):
    lose(held, POISON, 'a', 'b')
    for target, hold_s in (('c', 30), ('d', 60)):
        clock.advance(hold_s / 2)
        assert [is_held(held, POISON) for _ in range(2)] == [False, True]
        assert lose(held, POISON, target) == [True]
        clock.advance(hold_s - 1)
        assert is_held(held, POISON)
        clock.advance(1 - hold_s)
        clock.advance(hold_s / 2)
    held.answered(POISON)
    assert not is_held(held, POISON)


@pytest.mark.parametrize('known_good', [True, False])
def test_an_outage_does_not_catch_innocent_requests(held, known_good):
    if known_good:
        held.answered(POPULAR)
    for number, target in enumerate('abcde'):
        lose(held, 100 + number, target)
        if known_good or number > 2:
            assert lose(held, POPULAR, target) == [False]
            assert not is_held(held, POPULAR)
            held.released(POPULAR)


def test_several_that_crash_targets_are_no_outage(held, clock):
    """Targets lost to requests that are held back are accounted for."""
    for fingerprint, lost in ((21, 'ab'), (22, 'cd'), (23, 'ef'), (24, 'ac')):
        assert lose(held, fingerprint, *lost) == [False, True]
        clock.advance(1.0)


def test_a_target_that_is_sick_anyway_tells_nothing(held):
    assert not any(lose(held, POISON, 'a', 'b', 'c', healthy=False))
    assert not is_held(held, POISON)


def test_a_good_answer_counts_for_a_while_only(held, clock):
    held.answered(POISON)
    clock.advance(61)
    held.crashed(1, ids.TargetId('z'), True)
    clock.advance(61)
    assert lose(held, POISON, 'a', 'b') == [False, True]


def test_marks_of_daemons_add_up_and_are_not_passed_on(held, clock):
    peer = quarantine.Quarantine(clock, OPTIONS)
    lose(peer, POISON, 'a')
    for _ in range(3):
        held.receive_report(PEER, peer.report())
    assert held.report() == marks.QuarantineReport()
    assert not is_held(held, POISON)
    assert lose(held, POISON, 'b') == [True]
    assert held.report().marks[0].targets == ('b',)
    peer.receive_report(PEER, held.report())
    assert is_held(peer, POISON)
    clock.advance(200)
    assert not is_held(peer, POISON)
    assert peer.report() == marks.QuarantineReport()


def test_what_peers_say_is_bounded(held):
    flood = tuple(
        marks.CrashMark(number, (ids.TargetId('a'),) * 99, 1e9)
        for number in range(500)
    )
    lose(held, POISON, 'a', 'b')
    for start in range(0, 500, 3):
        held.receive_report(
            PEER, marks.QuarantineReport(flood[start : start + 3])
        )
    held.receive_report(PEER, marks.QuarantineReport(flood))
    assert is_held(held, POISON)
    for number in range(50):
        lose(held, number + 600, f't{number}')
    assert len(held.report().marks) == OPTIONS.reported_marks


def test_a_request_under_suspicion_accounts_for_its_targets(held, clock):
    """Guards against a third target: the crash before hid the next one."""
    lose(held, POISON, 'a')
    assert held.has_suspect_request_on('a')
    assert not held.has_suspect_request_on('b')
    clock.advance(OPTIONS.mark_s + 1)
    assert not held.has_suspect_request_on('a')


def test_a_request_with_a_good_answer_accounts_for_nothing(held):
    """The target went down by itself, and keeps doing so."""
    lose(held, POPULAR, 'a')
    held.answered(POPULAR)
    assert not held.has_suspect_request_on('a')


def test_what_peers_suspect_accounts_for_a_loss_here(held, clock):
    peer = quarantine.Quarantine(clock, OPTIONS)
    lose(peer, POISON, 'a')
    held.receive_report(PEER, peer.report())
    assert held.has_suspect_request_on('a')


def test_what_one_daemon_holds_back_others_do(held, clock):
    """Guards against a third target: others took the losses for an outage."""
    peer = quarantine.Quarantine(clock, OPTIONS)
    for number, target in enumerate('wxyz'):
        lose(held, 100 + number, target)
    lose(peer, POISON, 'a', 'b')
    held.receive_report(PEER, peer.report())
    assert is_held(held, POISON)
    clock.advance(OPTIONS.hold_s + 0.1)
    assert not is_held(held, POISON)


def test_daemons_do_not_hold_back_for_each_other_for_ever(held, clock):
    peer = quarantine.Quarantine(clock, OPTIONS)
    for one, target in ((held, 'a'), (peer, 'b')):
        lose(one, POISON, target)
    for _ in range(200):
        held.receive_report(PEER, peer.report())
        peer.receive_report(PEER, held.report())
        clock.advance(0.1)
    assert not is_held(held, POISON)


def test_targets_that_answer_again_are_no_outage(held):
    """Guards against a third target: requests that nobody sends again."""
    for number, target in enumerate('wxyz'):
        lose(held, 100 + number, target)
        held.answered(POPULAR, target)
    assert lose(held, POISON, 'a', 'b') == [False, True]
