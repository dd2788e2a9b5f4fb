"""The page for operators names all lines of an entry instance."""

import pathlib

import msgspec
import pytest
from sardinepier.daemon import entry_events
from sardinepier.entry import events as request_events
from sardinepier.entry import request_metrics
from sardinepier.telemetry import line_events
from sardinepier.zones import events as zone_events

PAGE = pathlib.Path(__file__).parents[4] / 'docs' / 'OPERATIONS.md'
MODULES = {
    module.__name__ for module in (entry_events, request_events, zone_events)
}
KINDS = [kind for kind in line_events.all_kinds() if kind.__module__ in MODULES]


def rows():
    """Return the lines of the page's tables by their first cell."""
    lines = PAGE.read_text(encoding='utf-8').splitlines()
    cells = [line.split('|') for line in lines if line.startswith('| `')]
    return {one[1].strip(' `'): one for one in cells}


@pytest.mark.parametrize('kind', KINDS, ids=line_events.name_of)
def test_the_page_has_each_kind_with_its_fields(kind):
    row = rows()[line_events.name_of(kind)]
    named = {one.strip(' `') for one in row[3].split(',')}
    assert named == {one.encode_name for one in msgspec.structs.fields(kind)}


def test_the_page_has_no_kind_that_is_not_written():
    known = {line_events.name_of(kind) for kind in KINDS}
    listed = {name for name in rows() if '-' in name or name in known}
    assert listed <= known | UNTYPED


@pytest.mark.parametrize('name', request_metrics.HELP_TEXTS)
def test_the_page_has_each_figure(name):
    assert f'| `sardinepier_{name}' in PAGE.read_text(encoding='utf-8')


UNTYPED = {
    'request-failed',
    'abandoned-failed',
    'answer-broken',
    'news-damaged',
    'part-failed',
    'daemon-failed',
    'settings-refused',
    'metrics-unavailable',
}
"""Lines about failures of many types, with their error and its remedy."""
