"""Reports merge by maximum: order, repeats and loss leave the same facts."""

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


def _report(sequence, doubts, good, others):
    overdue, in_flight, ejected = others
    return evidence.EvidenceReport(
        sequence,
        doubts,
        tuple(
            _row(name, count, overdue, in_flight)
            for name, count in zip(_NAMES, good, strict=True)
        ),
        tuple(evidence.EjectionNotice(name, 'a', 9.0, 1.5) for name in ejected),
        (),
    )


@st.composite
def _histories(draw):
    """One observer's reports, in the order in which it made them."""
    good = [0 for _ in _NAMES]
    reports = []
    for sequence in range(1, draw(st.integers(2, 6))):
        good = [count + draw(st.integers(0, 9)) for count in good]
        others = draw(
            st.tuples(
                st.sampled_from([0.0, 4.0]),
                st.integers(0, 3),
                st.lists(st.sampled_from(_NAMES), unique=True),
            ),
        )
        reports.append(_report(sequence, draw(st.booleans()), good, others))
    return reports


def _facts(peers):
    return peers.live(), peers.in_flight


@given(_histories(), _histories(), st.data())
def test_any_order_with_repeats_leaves_the_facts_of_the_newest(
    first, second, data
):
    sent = [('x~0', one) for one in first] + [('y~0', one) for one in second]
    newest = [('x~0', one) for one in first[-1:]]
    newest += [('y~0', one) for one in second[-1:]]
    arriving = data.draw(
        st.permutations(sent + sent[: data.draw(st.integers(0, 4))])
    )
    time = clock.ManualClock()
    mixed = peer_evidence.PeerEvidence('d~0', options.HealthOptions(), time)
    straight = peer_evidence.PeerEvidence('d~0', options.HealthOptions(), time)
    for observer, report in arriving:
        mixed.merge(observer, report)
    for observer, report in newest:
        straight.merge(observer, report)
    assert _facts(mixed) == _facts(straight)


@given(_histories())
def test_an_old_or_repeated_report_adds_nothing(history):
    peers = peer_evidence.PeerEvidence(
        'd~0', options.HealthOptions(), clock.ManualClock()
    )
    counted = 0
    for report in history + history:
        added = peers.merge('x~0', report) or {}
        counted += sum(one.good for one in added.values())
    if len(history) > 1:
        first, last = history[0].evidence, history[-1].evidence
        assert counted == sum(
            after.good - before.good
            for before, after in zip(first, last, strict=True)
        )
    for report in history:
        assert peers.merge('x~0', report) is None


def test_memory_of_observers_is_bounded_and_fades():
    time = clock.ManualClock()
    settings = options.HealthOptions(observers_limit=3, peer_expiry_s=5)
    peers = peer_evidence.PeerEvidence('d~0', settings, time)
    report = evidence.EvidenceReport(1, False, (), (), ())
    for place in range(9):
        peers.merge(f'x{place}~0', report)
    assert len(peers.live()) == 3
    assert peers.merge('d~0', report) is None
    time.advance(5.1)
    assert not peers.live()
    time.advance(60)
    peers.live()
    assert peers.merge('x8~0', report) is not None


def test_a_report_survives_its_encoding(bench):
    group = bench(daemons=1)
    group.daemons[0].mark_leaving('t5', 'a')
    group.run(2)
    report = group.daemons[0].report()
    encoded = msgspec.msgpack.encode(report)
    decoded = msgspec.msgpack.decode(encoded, type=evidence.EvidenceReport)
    assert decoded == report
    assert len(encoded) < 600


def test_a_leaving_mark_passes_on_and_outlives_the_list(bench):
    group = bench(daemons=2)
    first, second = group.daemons
    assert first.mark_leaving('t1', 'a')
    assert not first.mark_leaving('t1', 'a')
    group.tell(0)
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


def test_marks_of_unlisted_targets_are_bounded(bench):
    daemon = bench(daemons=1).daemons[0]
    daemon.mark_leaving('t0', 'a')
    for place in range(5000):
        daemon.mark_leaving(f'gone{place}', 'a')
    assert len(daemon.report().leaving) <= 300
    assert daemon.standing('t0').state is targets.TargetState.LEAVING


def test_peers_in_flight_are_told_and_dropped_with_the_observer(bench):
    group = bench(daemons=2)
    first, second = group.daemons
    first.started('t0', 'list', 1)
    first.started('t0', 'list', 2)
    group.tell(0)
    second.tick()
    assert second.standing('t0').peers_in_flight == 2
    second.forget('d0~0')
    second.tick()
    assert second.standing('t0').peers_in_flight == 0


def test_an_observer_that_doubts_itself_accuses_nobody():
    peers = peer_evidence.PeerEvidence(
        'd~0', options.HealthOptions(), clock.ManualClock()
    )
    for sequence, doubts in ((1, False), (2, True), (3, False)):
        row = evidence.TargetEvidence(
            't0', 'a', (9.0 * sequence, -sequence), 0, sequence, 8.0, 9.0, 1
        )
        report = evidence.EvidenceReport(sequence, doubts, (row,), (), ())
        added = peers.merge('x~0', report)
        if doubts:
            assert added['t0'].ratios == (0, -1)
            assert not peers.live()['x~0'].overdue
    assert added['t0'].ratios == (9, -1)
    assert peers.live()['x~0'].overdue == {'t0'}


def test_doubt_takes_a_majority_of_the_targets_in_use():
    def seen(level, attempts=9.0):
        identity = targets.TargetIdentity('t', 'a', 3)
        one = tracked_target.TrackedTarget(identity)
        one.recent.attempts = attempts
        one.suspicion.own_level = level
        return one

    assert group_scores.is_degraded([seen(1), seen(1), seen(0)])
    assert not group_scores.is_degraded([seen(1), seen(0), seen(0)])
    assert not group_scores.is_degraded([seen(1), seen(1)])
    assert not group_scores.is_degraded([seen(1), seen(1, 0), seen(0)])


@pytest.mark.parametrize(
    ('good', 'elapsed_s', 'expected'),
    [
        (3, 0.1, tracked_target.GroupVote.CUT_LINK),
        (3, 2.0, tracked_target.GroupVote.SICK),
        (0, 0.1, tracked_target.GroupVote.SICK),
    ],
)
def test_answers_heard_just_before_suspicion_veto_a_hang(
    good, elapsed_s, expected
):
    one = tracked_target.TrackedTarget(targets.TargetIdentity('t', 'a', 3))
    reporting.count_vote(one, 'x~0', good, good, now_s=10.0)
    observers = [f'o{place}~0' for place in range(5)]
    peers = dict.fromkeys(observers)
    now_s = 10 + elapsed_s
    one.suspicion.voting_since_s = now_s
    verdict = voting.vote(one, peers, set(observers[:4]), now_s)
    assert verdict is expected
