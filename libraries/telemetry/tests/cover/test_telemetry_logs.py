"""Logs are JSON lines without tracebacks, whoever wrote them."""

import json
import logging

import loguru
import pytest
from sardinepier.core import clock as clocks
from sardinepier.core import errors as core_errors
from sardinepier.core import ids
from sardinepier.telemetry import daemon_events, errors, logs, timeline

INSTANCE = ids.InstanceId('d1~0a')


@pytest.fixture(autouse=True)
def restored_logging():
    root = logging.getLogger()
    handlers = tuple(root.handlers)
    level = root.level
    yield
    loguru.logger.remove()
    logging.basicConfig(handlers=handlers, level=level, force=True)


@pytest.fixture
def lines(capsys):
    def read():
        written = capsys.readouterr().err.splitlines()
        return [json.loads(line) for line in written]

    return read


@pytest.fixture
def only_line(lines):
    def read():
        found = lines()
        assert len(found) == 1
        return found[0]

    return read


def fail():
    raise core_errors.SardinepierError('The port is in use', 'Choose another')


def log_failure():
    try:
        fail()
    except core_errors.SardinepierError as problem:
        logs.failure('start_failed', problem, port=80)


def test_an_event_is_one_compact_object(only_line):
    logs.configure('info', INSTANCE)
    logs.event('seen', 'odd {text}\nhere', count=2, slow=lambda: 'worked out')
    line = only_line()
    moment = line.pop('time')

    assert moment.endswith(('Z', '+00:00')) or moment[-6] in '+-'
    assert line == {
        'level': 'info',
        'event': 'seen',
        'instance_id': INSTANCE,
        'message': 'odd {text}\nhere',
        'fields': {'count': 2, 'slow': 'worked out'},
    }


def test_fields_below_the_level_are_never_worked_out(lines):
    logs.configure('warning', INSTANCE)
    logs.event('quiet', slow=fail)
    logs.event('loud', level=logs.Level.ERROR)

    assert [line['event'] for line in lines()] == ['loud']


@pytest.mark.parametrize(
    ('level', 'with_traceback'),
    [('info', False), ('warning', False), ('debug', True), ('DEBUG', True)],
)
def test_tracebacks_appear_only_at_debug(only_line, level, with_traceback):
    logs.configure(level, INSTANCE)
    log_failure()
    line = only_line()

    assert line['message'] == 'The port is in use'
    assert line['fields'] == {
        'error': 'SardinepierError',
        'remedy': 'Choose another',
        'port': 80,
    }
    assert ('traceback' in line) is with_traceback


def test_lines_of_libraries_become_json_too(only_line):
    logs.configure('info', INSTANCE)
    log = logging.getLogger('aiohttp.server')
    log.info('left out: below warning')
    try:
        fail()
    except core_errors.SardinepierError:
        log.exception('Error handling %s', 'request')
    line = only_line()

    assert line['event'] == 'library'
    assert line['message'] == 'Error handling request'
    assert line['fields']['library'] == 'aiohttp.server'
    assert 'traceback' not in line


def test_a_time_line_entry_is_logged_with_its_stamp(only_line):
    logs.configure('info', INSTANCE)
    ring = timeline.Timeline(INSTANCE, clocks.ManualClock(5.0))
    logs.timeline_entry(ring.record(daemon_events.WakeGapSeen(9, 5)))
    line = only_line()

    assert line['event'] == 'WakeGapSeen'
    assert line['fields'] == {'stamp': '5000.1', 'gap_ms': 9, 'bound_ms': 5}


def test_an_unknown_level_is_a_typed_error():
    with pytest.raises(errors.UnknownLevelError, match='debug, info'):
        logs.configure('loud', INSTANCE)
