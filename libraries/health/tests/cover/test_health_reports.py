"""Reports merge by sequence: order, repeats and loss change no result."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from sardinepier.core import clock
from sardinepier.health import evidence, options, peer_evidence, targets
from sardinepier.health.internal import (
    group_scores,
    reporting,
    tracked_target,
    voting,
)

_NAMES = ('t0', 't1', 't2')


def _row(name, good, overdue, in_flight):
    scores = tuple(-0.5 * good for _ in range(4))
    return evidence.TargetEvidence(
        name, 'a', scores, good, good, overdue, 50.0, in_flight
    )


def _report(sequence, is_degraded, good, fields):
    overdue, in_flight, ejected = fields
    return evidence.EvidenceReport(
        sequence,
        is_degraded,
        tuple(
            _row(name, count, overdue, in_flight)
            for name, count in zip(_NAMES, good, strict=True)
        ),
        tuple(evidence.EjectionNotice(name, 'a', 9.0, 1.5) for name in ejected),
        (),
    )


@st.composite
def _histories(draw):
    """Draw the reports of one observer, in the order of their creation."""
    good = [0 for _ in _NAMES]
    reports = []
    for sequence in range(1, draw(st.integers(2, 6))):
        good = [count + draw(st.integers(0, 9)) for count in good]
        fields = draw(
            st.tuples(
                st.sampled_from([0.0, 4.0]),
                st.integers(0, 3),
                st.lists(st.sampled_from(_NAMES), unique=True),
            ),
        )
        reports.append(_report(sequence, draw(st.booleans()), good, fields))
    return reports


def _facts(peers):
    return peers.live(), peers.in_flight


@given(_histories(), _histories(), st.data())
def test_merge_is_independent_of_order_and_repeats(first, second, data):
    sent = [('x~0', report) for report in first] + [
        ('y~0', report) for report in second
    ]
    newest = [('x~0', report) for report in first[-1:]]
    newest += [('y~0', report) for report in second[-1:]]
    arrivals = data.draw(
        st.permutations(sent + sent[: data.draw(st.integers(0, 4))])
    )
    manual_clock = clock.ManualClock()
    unordered = peer_evidence.PeerEvidence(
        'd~0', options.HealthOptions(), manual_clock
    )
    newest_only = peer_evidence.PeerEvidence(
        'd~0', options.HealthOptions(), manual_clock
    )
    for observer, report in arrivals:
        unordered.merge(observer, report)
    for observer, report in newest:
        newest_only.merge(observer, report)
    assert _facts(unordered) == _facts(newest_only)


@given(_histories())
def test_an_old_or_repeated_report_adds_nothing(history):
    peers = peer_evidence.PeerEvidence(
        'd~0', options.HealthOptions(), clock.ManualClock()
    )
    counted = 0
    for report in history + history:
        increments = peers.merge('x~0', report) or {}
        counted += sum(increment.good for increment in increments.values())
    if len(history) > 1:
        first, last = history[0].evidence, history[-1].evidence
        assert counted == sum(
            after.good - before.good
            for before, after in zip(first, last, strict=True)
        )
    for report in history:
        assert peers.merge('x~0', report) is None


def test_observers_are_bounded_and_silent_ones_expire():
    manual_clock = clock.ManualClock()
    settings = options.HealthOptions(observers_limit=3, peer_expiry_s=5)
    peers = peer_evidence.PeerEvidence('d~0', settings, manual_clock)
    report = evidence.EvidenceReport(1, False, (), (), ())
    for index in range(9):
        peers.merge(f'x{index}~0', report)
    assert len(peers.live()) == 3
    assert peers.merge('d~0', report) is None
    manual_clock.advance(5.1)
    assert not peers.live()
    manual_clock.advance(60)
    peers.live()
    assert peers.merge('x8~0', report) is not None


def test_a_report_survives_its_encoding(make_group):
    group = make_group(daemons=1)
    group.daemons[0].mark_leaving('t5', 'a')
    group.run(2)
    report = group.daemons[0].report()
    encoded = msgspec.msgpack.encode(report)
    decoded = msgspec.msgpack.decode(encoded, type=evidence.EvidenceReport)
    assert decoded == report
    assert len(encoded) < 600


def test_leaving_mark_reaches_peers_and_outlives_the_list(make_group):
    group = make_group(daemons=2)
    first, second = group.daemons
    assert first.mark_leaving('t1', 'a')
    assert not first.mark_leaving('t1', 'a')
    group.send_report(0)
    for daemon in (first, second):
        assert daemon.standing('t1').state is targets.TargetState.LEAVING
    group.names.remove('t1')
    group.list_targets()
    group.names.append('t1')
    group.list_targets()
    assert 't1' not in second.selectable()
    group.incarnations['t1'] = 'b'
    group.list_targets()
    assert second.standing('t1').state is targets.TargetState.COLD


def test_marks_of_unlisted_targets_are_bounded(make_group):
    daemon = make_group(daemons=1).daemons[0]
    daemon.mark_leaving('t0', 'a')
    for index in range(5000):
        daemon.mark_leaving(f'gone{index}', 'a')
    assert len(daemon.report().leaving) <= 300
    assert daemon.standing('t0').state is targets.TargetState.LEAVING


def test_peers_in_flight_are_reported_and_dropped_with_the_observer(make_group):
    group = make_group(daemons=2)
    first, second = group.daemons
    first.started('t0', 'list', 1)
    first.started('t0', 'list', 2)
    group.send_report(0)
    second.tick()
    assert second.standing('t0').peers_in_flight == 2
    second.forget('d0~0')
    second.tick()
    assert second.standing('t0').peers_in_flight == 0


def test_evidence_of_a_degraded_observer_is_ignored():
    peers = peer_evidence.PeerEvidence(
        'd~0', options.HealthOptions(), clock.ManualClock()
    )
    for sequence, is_degraded in ((1, False), (2, True), (3, False)):
        row = evidence.TargetEvidence(
            't0', 'a', (9.0 * sequence, -sequence), 0, sequence, 8.0, 9.0, 1
        )
        report = evidence.EvidenceReport(sequence, is_degraded, (row,), (), ())
        increments = peers.merge('x~0', report)
        if is_degraded:
            assert increments['t0'].ratios == (0, -1)
            assert not peers.live()['x~0'].overdue
    assert increments['t0'].ratios == (9, -1)
    assert peers.live()['x~0'].overdue == {'t0'}


def test_degraded_requires_a_majority_of_active_targets():
    def make_target(level, attempts=9.0):
        identity = targets.TargetIdentity('t', 'a', 3)
        target = tracked_target.TrackedTarget(identity)
        target.recent.attempts = attempts
        target.suspicion.own_level = level
        return target

    assert group_scores.is_degraded(
        [make_target(1), make_target(1), make_target(0)]
    )
    assert not group_scores.is_degraded(
        [make_target(1), make_target(0), make_target(0)]
    )
    assert not group_scores.is_degraded([make_target(1), make_target(1)])
    assert not group_scores.is_degraded(
        [make_target(1), make_target(1, 0), make_target(0)]
    )


@pytest.mark.parametrize(
    ('good', 'elapsed_s', 'expected'),
    [
        (3, 0.1, tracked_target.GroupVote.CUT_LINK),
        (3, 2.0, tracked_target.GroupVote.SICK),
        (0, 0.1, tracked_target.GroupVote.SICK),
    ],
)
def test_answers_just_before_suspicion_prevent_a_hang_vote(
    good, elapsed_s, expected
):
    target = tracked_target.TrackedTarget(targets.TargetIdentity('t', 'a', 3))
    reporting.count_vote(target, 'x~0', good, good, now_s=10.0)
    observers = [f'o{index}~0' for index in range(5)]
    peers = dict.fromkeys(observers)
    now_s = 10 + elapsed_s
    target.suspicion.voting_since_s = now_s
    verdict = voting.vote(target, peers, set(observers[:4]), now_s)
    assert verdict is expected
