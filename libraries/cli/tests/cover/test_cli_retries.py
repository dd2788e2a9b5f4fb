"""``sardinepier retries`` adds up the lines of all instances."""

import asyncio
import json

import cli_support
import pytest
from sardinepier.cli import context, exit_codes, main


def used(second, instance, attempts, requests=100, service='s', period_ms=500):
    return cli_support.line(
        second,
        instance,
        'retry-budget-used',
        service=service,
        attempts=attempts,
        requests=requests,
        period_ms=period_ms,
        budget_left=0.0,
    )


HANDOVER = (
    used(5.0, 'd1', 7),
    used(20.0, 'd1', 60),
    used(24.0, 'd2', 55, 300),
    used(29.9, 'd2', 5, 300),
    used(30.1, 'd2', 9),
    used(21.0, 'd1', 1, service='t'),
)


@pytest.fixture
def run(tmp_path):
    """Return what the command prints for lines in two files."""

    def run_command(lines, *arguments):
        printed = []
        files = []
        for number in range(2):
            path = tmp_path / f'{number}.log'
            path.write_text('\n'.join(lines[number::2]))
            files.append(str(path))
        command_context = context.Context(
            write=printed.append, write_error=printed.append
        )
        code = asyncio.run(
            main.execute(['retries', *files, *arguments], command_context)
        )
        assert code is exit_codes.ExitCode.OK
        return '\n'.join(printed)

    return run_command


def test_what_instances_spent_in_one_window_is_added_up(run):
    """A handover showed in no line: each instance alone was within its share."""
    text = run(HANDOVER)
    assert 's: 120 attempts for 700 requests in 10 s until ' in text
    assert '; 136 in all\n  d1 60\n  d2 60\nt: 1 attempts' in text


def test_the_window_can_be_chosen(run):
    document = json.loads(run(HANDOVER, '--window-s=3', '--json'))
    service = document['services'][0]
    assert (document['window_s'], service['attempts']) == (3.0, 60)
    assert service['instances'] == [{'instance_id': 'd1', 'attempts': 60}]


def test_requests_of_a_longer_time_count_by_the_window(run):
    assert ' for 50 requests ' in run(
        [used(9.0, 'd1', 1, 100, period_ms=20_000)]
    )


def test_without_lines_the_text_says_so(run):
    assert run([]) == 'No retry budget was used.'
