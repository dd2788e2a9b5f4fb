"""Replaced incarnations of targets never return, whatever lists say."""

from hypothesis import given
from hypothesis import strategies as st

from sardinepier.daemon.internal import group_messages, target_directory

_INCARNATIONS = st.lists(st.sampled_from(['a', 'b', 'c']), max_size=8)


@given(_INCARNATIONS)
def test_a_replaced_incarnation_never_returns(incarnations):
    directory = target_directory.TargetDirectory()
    seen = []
    for incarnation in incarnations:
        directory.learn('deposits', 't1', incarnation)
        current = directory.of_service('deposits')['t1']
        if current not in seen:
            seen.append(current)
        assert current == seen[-1]


def test_a_peer_only_adds_unknown_incarnations():
    directory = target_directory.TargetDirectory()
    assert directory.learn_if_unknown('deposits', 't1', 'a')
    assert not directory.learn_if_unknown('deposits', 't1', 'b')
    assert directory.learn('deposits', 't1', 'b')
    assert directory.of_service('deposits') == {'t1': 'b'}


def test_an_empty_incarnation_is_ignored():
    directory = target_directory.TargetDirectory()
    assert not directory.learn('deposits', 't1', '')
    assert directory.of_service('deposits') == {}


def test_services_that_are_not_retained_are_dropped():
    directory = target_directory.TargetDirectory()
    for incarnation in ('a', 'b'):
        directory.learn('deposits', 't1', incarnation)
    directory.retain(())
    assert directory.learn('deposits', 't1', 'a')


def test_only_changed_notices_are_sent():
    kept = group_messages.TargetNotice('deposits', 't1', 'a', False)
    left = group_messages.TargetNotice('deposits', 't2', 'a', False)
    leaving = group_messages.TargetNotice('deposits', 't2', 'a', True)
    changed = target_directory.changes((kept, left), (kept, leaving))
    assert changed == (leaving,)
