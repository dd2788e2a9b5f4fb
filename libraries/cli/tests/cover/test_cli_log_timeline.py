"""The timeline and the picture from log files."""

import asyncio

import cli_support
import pytest
from sardinepier.cli import context, exit_codes, main


class Shell:
    """Runs ``timeline`` and captures its output."""

    def __init__(self):
        self.printed = []
        self.errors = []

    def run(self, *arguments):
        command_context = context.Context(
            write=self.printed.append,
            write_error=self.errors.append,
        )
        return asyncio.run(
            main.execute(['timeline', *arguments], command_context)
        )


@pytest.fixture
def shell():
    return Shell()


@pytest.fixture
def logs(tmp_path):
    first_log = tmp_path / 'one.log'
    first_log.write_text(
        '\n'.join(
            (
                cli_support.line(1, 'd1', 'started', zone='z1'),
                cli_support.line(2, 'd1', 'request-sent', request_id='a'),
                cli_support.line(
                    9, 'd1', 'platform-lost', error='X', what='', age_ms=3
                ),
            ),
        ),
    )
    second_log = tmp_path / 'other.log'
    second_log.write_text(
        '\n'.join(
            (
                cli_support.line(4, 'd2', 'carrier-changed', is_carrier=True),
                cli_support.line(
                    5, 'd2', 'request-ended', request_id='b', outcome='x'
                ),
            ),
        ),
    )
    return str(first_log), str(second_log)


def test_lines_of_all_files_are_sorted_by_time(shell, logs):
    assert shell.run(*logs) is exit_codes.ExitCode.OK
    events = [printed.split()[2] for printed in shell.printed]
    assert events == ['started', 'carrier-changed', 'platform-lost']


def test_a_picture_is_drawn(shell, logs, tmp_path):
    picture = tmp_path / 'day.png'
    shell.run(*logs, f'--picture={picture}')
    assert picture.read_bytes().startswith(b'\x89PNG')


def test_a_picture_that_cannot_be_written_is_a_usage_error(shell, logs):
    code = shell.run(*logs, '--picture=/nowhere/at/all.png')
    assert code is exit_codes.ExitCode.USAGE
    assert 'cannot be written' in shell.errors[0]


def test_a_picture_without_lines_is_a_usage_error(shell, tmp_path):
    empty = tmp_path / 'empty.log'
    empty.write_text('')
    code = shell.run(str(empty), f'--picture={tmp_path / "day.png"}')
    assert code is exit_codes.ExitCode.USAGE


@pytest.mark.parametrize('with_daemons', [False, True])
def test_either_files_or_daemons_are_required(shell, logs, with_daemons):
    sources = (*logs, '--daemons=127.0.0.1:1') if with_daemons else ()
    assert shell.run(*sources) is exit_codes.ExitCode.USAGE
