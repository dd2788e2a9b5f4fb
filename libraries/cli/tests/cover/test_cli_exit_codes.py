"""Exit codes; and no failure prints a traceback."""

import asyncio
import json
import random

import hypothesis
import pytest
from hypothesis import strategies as st
from sardinepier.cli import context, endpoints, errors, main

# Nothing listens on port 1 of the loopback address.
UNUSED = '127.0.0.1:1'


def run(arguments):
    """Run a command line without a daemon; return exit code and output."""
    written = []
    command_context = context.Context(
        random_source=random.Random(1),
        write=written.append,
        write_error=written.append,
    )
    return main.run(arguments, command_context), '\n'.join(written)


@pytest.mark.parametrize(
    ('line', 'code', 'expected_text'),
    [
        ('', 2, ''),
        ('--help', 0, ''),
        ('request --help', 0, ''),
        ('refresh', 2, ''),
        ('check', 2, 'No file is named'),
        ('check absent.ini', 1, 'cannot be read'),
        ('check --json absent.ini', 1, '"cannot be read'),
        ('status', 2, ''),
        ('status --daemons', 2, "'True' is not an address"),
        ('status --daemons ,', 2, 'No daemon is named'),
        ('status --daemons here:80', 2, 'Write <ip>:<port>'),
        ('status --daemons 1.2.3.4:0', 2, 'Write <ip>:<port>'),
        ('status --daemons fd00::1:80', 2, 'Write <ip>:<port>'),
        (f'status --daemons {UNUSED} more', 2, ''),
        (f'status --daemons {UNUSED}', 3, 'Connection refused'),
        (f'status --daemons {UNUSED} --json=maybe', 2, 'true nor false'),
        (f'status --daemons {UNUSED} --timeout_s 0', 2, 'is not a time'),
        (f'timeline --daemons {UNUSED}', 3, 'Connection refused'),
        (f'timeline --daemons {UNUSED} --since 5', 2, 'is not a stamp'),
        (f'timeline --daemons {UNUSED} --for_s nan', 2, 'is not a time'),
        (f'addresses --service s --daemon {UNUSED}', 3, 'Connection refused'),
        (f'addresses --service a/b --daemon {UNUSED}', 2, 'of a service'),
        ('addresses --service s', 2, ''),
        (f'request GET /a --service s --daemon {UNUSED}', 3, 'refused'),
        (f'request G=T /a --service s --daemon {UNUSED}', 2, 'HTTP method'),
        (f'request GET /a#b --service s --daemon {UNUSED}', 2, 'not a path'),
        (f'request GET /a --service s --daemon {UNUSED} -c x', 2, 'in full'),
        (f'request GET /a --service s --daemon {UNUSED} --onse', 2, ''),
    ],
)
def test_exit_codes(line, code, expected_text, capfd):
    exit_code, written = run(line.split())
    captured = capfd.readouterr()

    assert exit_code == code
    assert expected_text.strip('"') in written
    assert 'Traceback' not in written + captured.out + captured.err
    assert written or captured.out or captured.err


def test_a_failure_has_a_json_form_with_its_exit_code():
    exit_code, written = run(['status', '--json', '--daemons', 'x'])
    document, _ = json.JSONDecoder().raw_decode(written)

    assert document['error'] == 'UsageError'
    assert document['exit_code'] == exit_code


@pytest.mark.parametrize(
    ('error', 'code', 'expected_text'),
    [
        (ZeroDivisionError('odd'), 4, 'ZeroDivisionError: odd'),
        (OSError('disk'), 4, 'OSError: disk'),
        (KeyboardInterrupt(), 130, ''),
        (errors.RefusedError('No', 'Wait'), 1, 'sardinepier: No. Wait.'),
    ],
)
def test_any_error_has_an_exit_code(monkeypatch, error, code, expected_text):
    async def fail(*_):
        await asyncio.sleep(0)
        raise error

    monkeypatch.setattr('sardinepier.cli.status.report', fail)
    exit_code, written = run(['status', '--daemons', UNUSED])

    assert exit_code == code
    assert expected_text in written
    assert 'Traceback' not in written


@hypothesis.given(st.ip_addresses(), st.integers(1, 65_535))
def test_endpoints_survive_a_round_trip_as_text(ip, port):
    endpoint = endpoints.Endpoint(str(ip), port)
    assert endpoints.parse_endpoint(str(endpoint)) == endpoint


@hypothesis.given(st.text(max_size=40))
def test_any_text_is_an_endpoint_or_a_usage_error(text):
    try:
        parsed = endpoints.parse_endpoint(text)
    except errors.UsageError as error:
        assert 'Write <ip>:<port>' in str(error)
    else:
        assert 0 < parsed.port < 65_536
