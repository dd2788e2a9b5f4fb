"""``sardinepier explain`` finds the cause in the logs of many processes."""

import asyncio
import json

import cli_support
import pytest
from sardinepier.cli import context, exit_codes, main

CHOICE = {
    'attempt': 1,
    'reason': 'first',
    'target': 't7',
    'target_zone': 'z1',
    'chance': 0.25,
    'belief_age_ms': 6200,
    'belief_source': 'zone',
    'in_flight': 1,
}
ENDED = {
    'route': 'r',
    'service': 's',
    'error': '',
    'what': '',
    'attempts': 1,
    'taken_ms': 9,
    'targets': 6,
    'with_room': 4,
}


def sent(second, instance, request_id):
    return cli_support.line(
        second,
        instance,
        'request-sent',
        request_id=request_id,
        choice=CHOICE,
        left_ms=2500,
    )


FAILED = (
    cli_support.line(1.0, 'd1', 'configuration-in-force', version=4, routes=2),
    sent(5.0, 'd1', 'a'),
    cli_support.line(
        5.004,
        'd1',
        'attempt-failed',
        request_id='a',
        choice=CHOICE,
        what='target_failed: answered 500',
        taken_ms=4,
    ),
    cli_support.line(
        5.005,
        'd1',
        'request-ended',
        request_id='a',
        **{**ENDED, 'outcome': 'target_failed', 'status': 500},
    ),
)
REFUSED = (
    cli_support.line(
        6.0,
        'd2',
        'request-ended',
        request_id='b',
        **{
            **ENDED,
            'outcome': 'refused',
            'status': 503,
            'error': 'NoTargetError',
            'what': 'No target has room',
            'with_room': 0,
        },
    ),
)
LOST = (
    cli_support.line(0.5, 'd3', 'started', zone='z1'),
    sent(7.0, 'd3', 'c'),
    cli_support.line(9.0, 'd3', 'started', zone='z1'),
)


class Shell:
    """Runs the tool on log files and keeps what it printed."""

    def __init__(self, folder):
        self.folder = folder
        self.printed = []
        self.errors = []
        self.files = []

    def log(self, name, *texts):
        path = self.folder / name
        path.write_text('\n'.join(texts))
        self.files.append(str(path))

    def run(self, *arguments):
        around = context.Context(
            write=self.printed.append,
            write_error=self.errors.append,
        )
        return asyncio.run(
            main.execute(['explain', *arguments, *self.files], around),
        )

    @property
    def text(self):
        return '\n'.join(self.printed)


@pytest.fixture
def shell(tmp_path):
    made = Shell(tmp_path)
    made.log('one.log', *FAILED)
    made.log('two.log', *REFUSED, *LOST)
    return made


@pytest.mark.parametrize(
    ('request_id', 'cause', 'because'),
    [
        ('a', 'target_failed', 't7 after 4 ms: target_failed: answered 500'),
        ('b', 'refused', 'No target has room'),
        ('c', 'lost_with_daemon', 'd3 died within the time of the request'),
    ],
)
def test_the_cause_is_named(shell, request_id, cause, because):
    assert shell.run(request_id) is exit_codes.ExitCode.OK
    assert f'request {request_id}: {cause}' in shell.text
    assert because in shell.text


def test_what_the_daemon_knew_is_shown_with_its_age(shell):
    shell.run('a', '--json')
    document = json.loads(shell.text)
    known = document['known']
    assert [(one['event'], one['age_ms']) for one in known] == [
        ('configuration-in-force', 4000),
    ]
    assert [step['after_ms'] for step in document['steps']] == [0, 4, 5]


def test_a_caller_that_left_is_told_so(shell):
    left = {**ENDED, 'outcome': 'abandoned', 'status': 0, 'taken_ms': 211}
    shell.log(
        'left.log',
        cli_support.line(8.0, 'd1', 'request-ended', request_id='h', **left),
    )
    shell.run('h')
    assert 'The caller left after 211 ms' in shell.text


def test_an_unknown_id_is_a_clear_answer(shell):
    assert shell.run('nobody') is exit_codes.ExitCode.NEGATIVE
    assert "has the request 'nobody'" in shell.errors[0]


def test_a_daemon_that_lived_on_past_the_deadline_lost_nothing(shell):
    """Else each request it ever answered would count as lost."""
    shell.log(
        'lived.log',
        sent(1.0, 'd6', 'i'),
        sent(4.0, 'd6', 'j'),
        cli_support.line(6.0, 'd6', 'started', zone='z1'),
    )
    shell.run('i')
    assert 'request i: answered' in shell.text
    shell.run('j')
    assert 'request j: lost_with_daemon' in shell.text


def test_a_daemon_that_stopped_in_order_lost_nothing(shell):
    shell.log(
        'three.log',
        sent(1.0, 'd4', 'd'),
        cli_support.line(2.0, 'd4', 'stopped', in_hand=0),
        cli_support.line(3.0, 'd4', 'started', zone='z1'),
    )
    shell.run('d')
    assert 'request d: answered' in shell.text


def test_broken_lines_are_counted(shell):
    shell.log('broken.log', '{"time": 3', 'a heading', '{}')
    assert shell.run('a') is exit_codes.ExitCode.OK
    assert shell.errors == ['2 lines could not be read.']


def test_a_prefix_before_the_line_is_passed_over(shell):
    shell.log('prefixed.log', f'  5.5 edge-1 {sent(5.5, "d9", "e")}')
    shell.run('e')
    assert 'd9  request-sent' in shell.text


def test_a_clock_that_went_back_is_told(shell):
    shell.log('clock.log', sent(30.0, 'd5', 'f'), sent(20.0, 'd5', 'g'))
    shell.run('f')
    assert any('d5 went back' in told for told in shell.errors)


def test_a_file_that_is_not_there_is_wrong_usage(shell):
    shell.files.append(str(shell.folder / 'nowhere.log'))
    assert shell.run('a') is exit_codes.ExitCode.USAGE


def test_no_file_is_wrong_usage(shell):
    shell.files.clear()
    assert shell.run('a') is exit_codes.ExitCode.USAGE
