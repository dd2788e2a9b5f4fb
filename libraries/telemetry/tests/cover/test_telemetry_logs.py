"""All log lines are JSON, and have tracebacks only at level debug."""

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
        written = lines()
        assert len(written) == 1
        return written[0]

    return read


def fail():
    raise core_errors.SardinepierError('The port is in use', 'Choose another')


def log_failure():
    try:
        fail()
    except core_errors.SardinepierError as error:
        logs.failure('start_failed', error, port=80)


def test_an_event_is_one_json_object(only_line):
    logs.configure('info', INSTANCE)
    logs.event('seen', 'odd {text}\nhere', count=2, slow=lambda: 'computed')
    line = only_line()
    time = line.pop('time')

    assert time.endswith(('Z', '+00:00')) or time[-6] in '+-'
    assert line == {
        'level': 'info',
        'event': 'seen',
        'instance_id': INSTANCE,
        'message': 'odd {text}\nhere',
        'fields': {'count': 2, 'slow': 'computed'},
    }


def test_fields_below_the_level_are_never_computed(lines):
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


def test_records_of_the_logging_module_become_json(only_line):
    logs.configure('info', INSTANCE)
    log = logging.getLogger('aiohttp.server')
    log.info('below warning, not written')
    try:
        fail()
    except core_errors.SardinepierError:
        log.exception('Error handling %s', 'request')
    line = only_line()

    assert line['event'] == 'library'
    assert line['message'] == 'Error handling request'
    assert line['fields']['library'] == 'aiohttp.server'
    assert 'traceback' not in line


def test_a_timeline_entry_is_logged_with_its_stamp(only_line):
    logs.configure('info', INSTANCE)
    ring = timeline.Timeline(INSTANCE, clocks.ManualClock(5.0))
    logs.timeline_entry(ring.record(daemon_events.WakeGapSeen(9, 5)))
    line = only_line()

    assert line['event'] == 'WakeGapSeen'
    assert line['fields'] == {'stamp': '5000.1', 'gap_ms': 9, 'bound_ms': 5}


def test_an_unknown_level_raises_a_typed_error():
    with pytest.raises(errors.UnknownLevelError, match='debug, info'):
        logs.configure('loud', INSTANCE)
