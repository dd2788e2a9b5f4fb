"""Requests that crash targets are quarantined, and no others."""

import pytest

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.once import errors, marks, quarantine

CRASHING = 13
HARMLESS = 7
OPTIONS = quarantine.QuarantineOptions(
    mark_lifetime_s=60,
    quarantine_s=15,
    trial_timeout_s=10,
    capacity=8,
    max_reported_marks=3,
)
SERVICE = ids.ServiceName('books')
PEER = ids.InstanceId('d2~0000000000000000')


def lose(local, fingerprint, *targets, healthy=True):
    return [
        local.crashed(
            fingerprint, SERVICE, ids.TargetId(name), healthy
        ).is_quarantined
        for name in targets
    ]


def is_quarantined(local, fingerprint):
    try:
        local.admit(fingerprint)
    except errors.QuarantinedError as error:
        assert error.retry_after_s > 0
        return True
    return False


@pytest.fixture
def clock():
    return clocks.ManualClock(100)


@pytest.fixture
def local(clock):
    return quarantine.Quarantine(clock, OPTIONS)


def test_a_request_is_quarantined_after_its_second_target(local):
    assert lose(local, CRASHING, 'a') == [False]
    assert not is_quarantined(local, CRASHING)
    assert lose(local, CRASHING, 'b') == [True]
    assert is_quarantined(local, CRASHING)
    assert not is_quarantined(local, HARMLESS)
    assert local.quarantined() == (marks.CrashMark(CRASHING, ('a', 'b'), 15),)


def test_losses_on_one_target_only_do_not_quarantine(local):
    assert not any(lose(local, CRASHING, 'a', 'a', 'a'))


def test_after_a_loss_a_request_is_admitted_once_at_a_time(local, clock):
    lose(local, CRASHING, 'a')
    assert [is_quarantined(local, CRASHING) for _ in range(3)] == [
        False,
        True,
        True,
    ]
    local.released(CRASHING)
    assert not is_quarantined(local, CRASHING)
    clock.advance(10)
    assert not is_quarantined(local, CRASHING)


def test_each_further_crash_doubles_the_quarantine(local, clock):
    lose(local, CRASHING, 'a', 'b')
    for target, quarantine_s in (('c', 30), ('d', 60)):
        clock.advance(quarantine_s / 2)
        assert [is_quarantined(local, CRASHING) for _ in range(2)] == [
            False,
            True,
        ]
        assert lose(local, CRASHING, target) == [True]
        clock.advance(quarantine_s - 1)
        assert is_quarantined(local, CRASHING)
        clock.advance(1 - quarantine_s)
        clock.advance(quarantine_s / 2)
    local.answered(CRASHING, SERVICE)
    assert not is_quarantined(local, CRASHING)


@pytest.mark.parametrize('known_good', [True, False])
def test_an_outage_does_not_quarantine_harmless_requests(local, known_good):
    if known_good:
        local.answered(HARMLESS, SERVICE)
    for number, target in enumerate('abcde'):
        lose(local, 100 + number, target)
        if known_good or number > 2:
            assert lose(local, HARMLESS, target) == [False]
            assert not is_quarantined(local, HARMLESS)
            local.released(HARMLESS)


def test_few_requests_are_quarantined_while_a_service_answers_nothing(local):
    """Guards against quarantined requests that account for a whole outage.

    In an outage each request is lost on two targets, one after another.
    """
    quarantined = [
        lose(local, number, f'{number}-1', f'{number}-2')[1]
        for number in range(40)
    ]
    assert sum(quarantined) <= 6


def test_targets_crashed_by_quarantined_requests_are_no_outage(local, clock):
    """Guards against crashing requests that hide each other as an outage."""
    for fingerprint, targets in (
        (21, 'ab'),
        (22, 'cd'),
        (23, 'ef'),
        (24, 'ac'),
    ):
        assert lose(local, fingerprint, *targets) == [False, True]
        clock.advance(1.0)


def test_a_loss_on_an_unhealthy_target_sets_no_mark(local):
    assert not any(lose(local, CRASHING, 'a', 'b', 'c', healthy=False))
    assert not is_quarantined(local, CRASHING)


def test_a_good_answer_protects_a_request_only_for_a_while(local, clock):
    local.answered(CRASHING, SERVICE)
    clock.advance(61)
    local.crashed(1, SERVICE, ids.TargetId('z'), True)
    clock.advance(61)
    assert lose(local, CRASHING, 'a', 'b') == [False, True]


def test_marks_of_daemons_add_up_and_are_not_forwarded(local, clock):
    peer = quarantine.Quarantine(clock, OPTIONS)
    lose(peer, CRASHING, 'a')
    for _ in range(3):
        local.receive_report(PEER, peer.report())
    assert local.report() == marks.QuarantineReport()
    assert not is_quarantined(local, CRASHING)
    assert lose(local, CRASHING, 'b') == [True]
    assert local.report().marks[0].targets == ('b',)
    peer.receive_report(PEER, local.report())
    assert is_quarantined(peer, CRASHING)
    clock.advance(200)
    assert not is_quarantined(peer, CRASHING)
    assert peer.report() == marks.QuarantineReport()


def test_reports_from_peers_are_bounded(local):
    flood = tuple(
        marks.CrashMark(number, (ids.TargetId('a'),) * 99, 1e9)
        for number in range(500)
    )
    lose(local, CRASHING, 'a', 'b')
    for start in range(0, 500, 3):
        local.receive_report(
            PEER, marks.QuarantineReport(flood[start : start + 3])
        )
    local.receive_report(PEER, marks.QuarantineReport(flood))
    assert is_quarantined(local, CRASHING)
    for number in range(50):
        lose(local, number + 600, f't{number}')
    assert len(local.report().marks) == OPTIONS.max_reported_marks


def test_a_suspected_request_explains_the_loss_of_its_targets(local, clock):
    """Guards against a third crash.

    After its first crash the target counted as unhealthy, so that the next
    loss set no mark.
    """
    lose(local, CRASHING, 'a')
    assert local.has_suspect_request_on('a')
    assert not local.has_suspect_request_on('b')
    clock.advance(OPTIONS.mark_lifetime_s + 1)
    assert not local.has_suspect_request_on('a')


def test_a_request_with_a_good_answer_explains_no_loss(local):
    """The target failed by itself and may do so again."""
    lose(local, HARMLESS, 'a')
    local.answered(HARMLESS, SERVICE)
    assert not local.has_suspect_request_on('a')


def test_a_request_suspected_by_a_peer_explains_a_loss(local, clock):
    peer = quarantine.Quarantine(clock, OPTIONS)
    lose(peer, CRASHING, 'a')
    local.receive_report(PEER, peer.report())
    assert local.has_suspect_request_on('a')


def test_a_request_quarantined_by_one_daemon_is_by_its_peers(local, clock):
    """Guards against a third crash: peers took the losses for an outage."""
    peer = quarantine.Quarantine(clock, OPTIONS)
    for number, target in enumerate('wxyz'):
        lose(local, 100 + number, target)
    lose(peer, CRASHING, 'a', 'b')
    local.receive_report(PEER, peer.report())
    assert is_quarantined(local, CRASHING)
    clock.advance(OPTIONS.quarantine_s + 0.1)
    assert not is_quarantined(local, CRASHING)


def test_daemons_do_not_prolong_quarantine_for_each_other(local, clock):
    peer = quarantine.Quarantine(clock, OPTIONS)
    for daemon, target in ((local, 'a'), (peer, 'b')):
        lose(daemon, CRASHING, target)
    for _ in range(200):
        local.receive_report(PEER, peer.report())
        peer.receive_report(PEER, local.report())
        clock.advance(0.1)
    assert not is_quarantined(local, CRASHING)


def test_targets_that_answer_again_are_no_outage(local):
    """Guards against a third crash: recovered targets counted as lost."""
    for number, target in enumerate('wxyz'):
        lose(local, 100 + number, target)
        local.answered(HARMLESS, SERVICE)
    assert lose(local, CRASHING, 'a', 'b') == [False, True]


def test_lost_targets_are_no_outage_once_the_service_answers(local):
    """Guards against crashes that switch the quarantine off for a minute.

    A target that crashed restarts under another id. It never answers under the
    one that was lost.
    """
    for number, target in enumerate('uvwxyz'):
        lose(local, 100 + number, target)
    assert lose(local, CRASHING, 'a', 'b') == [False, False]
    local.answered(HARMLESS, SERVICE)
    assert lose(local, CRASHING, 'c') == [True]


def test_crashing_requests_do_not_hide_each_other(local):
    """Guards against many such requests at once, with answers between them."""
    for target in 'ab':
        for number in range(6):
            lose(local, 200 + number, f'{target}{number}')
            local.answered(HARMLESS, SERVICE)
    assert all(is_quarantined(local, 200 + number) for number in range(6))


def test_marks_outlast_the_quarantine_that_they_caused(local, clock):
    """Guards against two crashes in a row after each long quarantine.

    A quarantine may last longer than a mark.
    """
    lose(local, CRASHING, 'a', 'b')
    for target, quarantine_s in (('c', 15), ('d', 30), ('e', 60), ('f', 120)):
        clock.advance(quarantine_s)
        assert not is_quarantined(local, CRASHING)
        assert lose(local, CRASHING, target) == [True]


def test_an_answer_does_not_end_the_outage_of_another_service(local):
    """Harmless requests of the service that is down are not quarantined."""
    for number, target in enumerate('wxyz'):
        lose(local, 100 + number, target)
    local.answered(HARMLESS, ids.ServiceName('other'))
    assert lose(local, CRASHING, 'a', 'b') == [False, False]


def test_an_outage_does_not_hide_a_crashing_request_of_another_service(local):
    for number, target in enumerate('wxyz'):
        local.crashed(100 + number, ids.ServiceName('other'), target, True)
    assert lose(local, CRASHING, 'a', 'b') == [False, True]
