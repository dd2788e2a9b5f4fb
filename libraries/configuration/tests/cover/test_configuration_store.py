"""Tests that the store applies only newer, valid versions in any order."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sardinepier.configuration import files, route_tables, store
from sardinepier.core import ids

_ACCEPTED = files.OfferResult.ACCEPTED
_STALE = files.OfferResult.STALE
_INVALID = files.OfferResult.INVALID
_INVALID_TEXT = '[service]\nnme = search\n'


def _offer(target, name, revision, text):
    if text is None:
        return target.offer_deleted(name, ids.Revision(revision))
    return target.offer(name, ids.Revision(revision), text)


@pytest.fixture
def filled(support):
    """Return a store with a fleet file and one service."""
    target = store.Store()
    _offer(target, support.fleet, 1, support.fleet_text())
    _offer(target, support.service, 2, support.service_text('search'))
    return target


@given(
    kinds=st.lists(st.sampled_from('vid'), min_size=1, max_size=8),
    order=st.randoms(),
)
def test_any_order_with_duplicates_ends_in_the_same_state(kinds, order):
    texts = {'v': _VALID_TEXT, 'i': _INVALID_TEXT, 'd': None}
    versions = [
        (revision, texts[kind]) for revision, kind in enumerate(kinds, start=1)
    ]
    shuffled = versions + versions[: len(versions) // 2]
    order.shuffle(shuffled)
    first, second = store.Store(), store.Store()
    for revision, text in versions:
        _offer(first, _NAME, revision, text)
    previous = 0
    for revision, text in shuffled:
        result = _offer(second, _NAME, revision, text)
        current = second.find(_NAME).in_force_revision
        assert current >= previous
        assert (result is _ACCEPTED) == (current > previous)
        previous = current
    assert second.find(_NAME) == first.find(_NAME)
    assert second.mark() == first.mark()
    valid = [version[0] for version in versions if version[1] != _INVALID_TEXT]
    assert previous == max(valid, default=0)
    assert second.mark().newest_revision == len(versions)


_NAME = ids.FileName('service/search')
_VALID_TEXT = """
[service]
name = search
floor_percent = 70
[shed-reply]
status = 503
header_name = Shed
header_value = yes
[target w1]
ip = 127.0.0.1
port = 9001
zone = a
slots = 3
[route find]
method = GET
path = /find
idempotent = yes
deadline_ms = 2000
"""


def test_nothing_is_current_before_a_valid_fleet_file(support):
    target = store.Store()
    _offer(target, support.service, 2, support.service_text('search'))
    assert _offer(target, support.fleet, 3, '[flet]') is _INVALID
    assert target.current is None
    _offer(target, support.fleet, 4, support.fleet_text())
    assert set(target.current.services) == {'search'}
    assert target.current.revisions == {'fleet': 4, 'service/search': 2}


def test_a_change_makes_a_new_configuration_and_parses_nothing_else(
    support, filled
):
    before, changes = filled.current, []
    filled.on_change(changes.append)
    deposits = ids.FileName('service/deposits')
    _offer(filled, deposits, 3, support.service_text('deposits'))
    assert changes == [filled.current]
    assert set(before.services) == {'search'}
    assert filled.current.services['search'] is before.services['search']
    assert filled.current.fleet is before.fleet


def test_an_invalid_revision_is_reported_and_does_not_block_the_next(
    support, filled
):
    name, changes = support.service, []
    filled.on_change(changes.append)
    assert _offer(filled, name, 3, _INVALID_TEXT) is _INVALID
    assert (filled.current.revisions[name], changes) == (2, [])
    assert any('nme' in str(problem) for problem in filled.problems())
    assert _offer(filled, name, 3, _INVALID_TEXT) is _STALE
    assert _offer(filled, name, 4, support.service_text('search')) is _ACCEPTED
    assert filled.current.revisions[name] == 4
    assert filled.problems() == ()


def test_a_rejected_revision_is_applied_when_its_text_arrives_intact(
    support, filled
):
    before = filled.mark()
    _offer(filled, support.service, 3, '<rubbish>')
    assert filled.mark() != before
    text = support.service_text('search')
    assert _offer(filled, support.service, 3, text) is _ACCEPTED
    assert filled.problems() == ()


def test_deletion_is_a_version_and_is_invalid_for_the_fleet_file(
    support, filled
):
    assert _offer(filled, support.service, 3, None) is _ACCEPTED
    assert not filled.current.services
    assert _offer(filled, support.service, 2, _VALID_TEXT) is _STALE
    assert _offer(filled, support.fleet, 4, None) is _INVALID
    assert filled.current.revisions[support.fleet] == 1
    assert 'deleted' in str(filled.problems()[0])


def test_problems_between_files_are_reported_and_block_neither(support, filled):
    text = support.service_text('search').replace('zone = a', 'zone = nowhere')
    assert _offer(filled, support.service, 3, text) is _ACCEPTED
    assert any('nowhere' in str(problem) for problem in filled.problems())


@pytest.mark.parametrize(
    'name',
    ['other', 'service/', 'service/a/b', 'service/a b', f'service/{"x" * 300}'],
)
def test_invalid_file_names_are_ignored(name, filled):
    before = filled.mark()
    assert _offer(filled, ids.FileName(name), 9, 'text') is _STALE
    assert filled.mark() == before


def test_number_and_size_of_files_are_bounded(support):
    target = store.Store()
    for number in range(store.MAX_FILES + 1):
        _offer(target, ids.FileName(f'service/s{number}'), 1, None)
    assert len(target.known()) == store.MAX_FILES
    large = '# \N{SNOWMAN}' * 400_000
    assert _offer(target, ids.FileName('service/s1'), 2, large) is _INVALID


def test_routes_are_compiled_once_for_each_version(support, filled):
    tables = route_tables.RouteTables()
    old = filled.current.services['search']
    assert tables.find(old) is tables.find(old)
    text = support.service_text('search').replace('/find', '/look')
    _offer(filled, support.service, 3, text)
    new = filled.current.services['search']
    assert tables.find(new).match('GET', '/look').name == 'find'
    assert tables.find(old).match('GET', '/look') is None
    _offer(filled, support.service, 4, None)
    cached = tables.find(new)
    tables.retain(filled.current)
    assert tables.find(new) is not cached
