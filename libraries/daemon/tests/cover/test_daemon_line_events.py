"""The page for operators documents all log events of an entry instance."""

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
    """Return the rows of the page's tables by their first cell."""
    lines = PAGE.read_text(encoding='utf-8').splitlines()
    cells = [line.split('|') for line in lines if line.startswith('| `')]
    return {row[1].strip(' `'): row for row in cells}


@pytest.mark.parametrize('kind', KINDS, ids=line_events.name_of)
def test_the_page_documents_each_event_with_its_fields(kind):
    row = rows()[line_events.name_of(kind)]
    documented = {name.strip(' `') for name in row[3].split(',')}
    assert documented == {
        field.encode_name for field in msgspec.structs.fields(kind)
    }


def test_the_page_documents_no_unknown_event():
    known = {line_events.name_of(kind) for kind in KINDS}
    documented = {name for name in rows() if '-' in name or name in known}
    assert documented <= known | UNTYPED


@pytest.mark.parametrize('name', request_metrics.HELP_TEXTS)
def test_the_page_documents_each_metric(name):
    assert f'| `sardinepier_{name}' in PAGE.read_text(encoding='utf-8')


UNTYPED = {
    'request-failed',
    'abandoned-failed',
    'answer-broken',
    'news-damaged',
    'part-failed',
    'reading-failed',
    'daemon-failed',
    'settings-refused',
    'metrics-unavailable',
    'relays-unavailable',
    'connections-limited',
}
"""Log events without a class of their own."""
