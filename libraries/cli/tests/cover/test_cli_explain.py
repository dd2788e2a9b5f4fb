"""``sardinepier explain`` finds the cause in the logs of many daemons."""

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
    """Runs ``explain`` on log files and captures its output."""

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
        command_context = context.Context(
            write=self.printed.append,
            write_error=self.errors.append,
        )
        return asyncio.run(
            main.execute(['explain', *arguments, *self.files], command_context),
        )

    @property
    def text(self):
        return '\n'.join(self.printed)


@pytest.fixture
def shell(tmp_path):
    log_shell = Shell(tmp_path)
    log_shell.log('one.log', *FAILED)
    log_shell.log('two.log', *REFUSED, *LOST)
    return log_shell


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


def test_state_events_are_shown_with_their_age(shell):
    shell.run('a', '--json')
    document = json.loads(shell.text)
    known = document['known']
    assert [(event['event'], event['age_ms']) for event in known] == [
        ('configuration-in-force', 4000),
    ]
    assert [step['after_ms'] for step in document['steps']] == [0, 4, 5]


def test_a_caller_that_disconnected_is_reported(shell):
    left = {**ENDED, 'outcome': 'abandoned', 'status': 0, 'taken_ms': 211}
    shell.log(
        'left.log',
        cli_support.line(8.0, 'd1', 'request-ended', request_id='h', **left),
    )
    shell.run('h')
    assert 'The caller left after 211 ms' in shell.text


def test_a_request_that_the_daemon_cut_off_is_reported(shell):
    cut_off = {**ENDED, 'outcome': 'cut_off', 'status': 0, 'taken_ms': 5600}
    shell.log(
        'cut.log',
        cli_support.line(8.0, 'd1', 'request-ended', request_id='h', **cut_off),
    )
    shell.run('h')
    assert 'The daemon cut it off after 5600 ms' in shell.text


def test_the_history_tells_of_attempts_whose_lines_were_dropped(shell):
    shed = {
        'receiver': 't1',
        'connection': 'kept',
        'outcome': 'ShedError: The target answered 503 and did not run it',
        'taken_ms': 3,
    }
    fields = {**ENDED, 'outcome': 'refused', 'status': 503, 'history': [shed]}
    shell.log(
        'dropped.log',
        cli_support.line(8.0, 'd1', 'request-ended', request_id='h', **fields),
    )
    shell.run('h')
    assert f't1 (kept) after 3 ms: {shed["outcome"]}' in shell.text


def test_an_unknown_id_is_a_negative_result(shell):
    assert shell.run('nobody') is exit_codes.ExitCode.NEGATIVE
    assert "has the request 'nobody'" in shell.errors[0]


def test_a_request_is_not_lost_if_its_daemon_ran_past_the_deadline(shell):
    """Otherwise each answered request of a daemon would count as lost."""
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


def test_a_request_is_not_lost_if_its_daemon_shut_down_normally(shell):
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


def test_a_prefix_before_the_json_object_is_ignored(shell):
    shell.log('prefixed.log', f'  5.5 edge-1 {sent(5.5, "d9", "e")}')
    shell.run('e')
    assert 'd9  request-sent' in shell.text


def test_a_clock_that_went_back_is_reported(shell):
    shell.log('clock.log', sent(30.0, 'd5', 'f'), sent(20.0, 'd5', 'g'))
    shell.run('f')
    assert any('d5 went back' in message for message in shell.errors)


def test_a_missing_file_is_a_usage_error(shell):
    shell.files.append(str(shell.folder / 'nowhere.log'))
    assert shell.run('a') is exit_codes.ExitCode.USAGE


def test_no_file_is_a_usage_error(shell):
    shell.files.clear()
    assert shell.run('a') is exit_codes.ExitCode.USAGE
