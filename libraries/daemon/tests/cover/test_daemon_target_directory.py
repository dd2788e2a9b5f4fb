"""Incarnations of targets only move forward, whatever lists say."""

from hypothesis import given
from hypothesis import strategies as st

from sardinepier.daemon.internal import group_messages, target_directory

_STARTS = st.lists(st.sampled_from(['a', 'b', 'c']), max_size=8)


@given(_STARTS)
def test_a_replaced_start_never_comes_back(starts):
    directory = target_directory.TargetDirectory()
    seen = []
    for start in starts:
        directory.learn('deposits', 't1', start)
        present = directory.of_service('deposits')['t1']
        if present not in seen:
            seen.append(present)
        assert present == seen[-1]


def test_a_peer_only_fills_what_is_not_known_yet():
    directory = target_directory.TargetDirectory()
    assert directory.learn_if_unknown('deposits', 't1', 'a')
    assert not directory.learn_if_unknown('deposits', 't1', 'b')
    assert directory.learn('deposits', 't1', 'b')
    assert directory.of_service('deposits') == {'t1': 'b'}


def test_an_unknown_start_teaches_nothing():
    directory = target_directory.TargetDirectory()
    assert not directory.learn('deposits', 't1', '')
    assert directory.of_service('deposits') == {}


def test_services_that_are_gone_are_forgotten():
    directory = target_directory.TargetDirectory()
    for start in ('a', 'b'):
        directory.learn('deposits', 't1', start)
    directory.retain(())
    assert directory.learn('deposits', 't1', 'a')


def test_only_what_changed_is_passed_on():
    kept = group_messages.TargetNotice('deposits', 't1', 'a', False)
    left = group_messages.TargetNotice('deposits', 't2', 'a', False)
    leaving = group_messages.TargetNotice('deposits', 't2', 'a', True)
    told = target_directory.changes((kept, left), (kept, leaving))
    assert told == (leaving,)
