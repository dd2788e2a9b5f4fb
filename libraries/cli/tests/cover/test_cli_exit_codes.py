"""Exit codes, and that no failure ever shows a traceback."""

import asyncio
import json
import random

import hypothesis
import pytest
from hypothesis import strategies as st
from sardinepier.cli import context, endpoints, errors, main

# Port 1 of the loopback address: nothing listens there.
NOBODY = '127.0.0.1:1'


def run(arguments):
    """Run a command line that reaches no daemon; return code and output."""
    written = []
    around = context.Context(
        random_source=random.Random(1),
        write=written.append,
        write_error=written.append,
    )
    return main.run(arguments, around), '\n'.join(written)


@pytest.mark.parametrize(
    ('line', 'code', 'said'),
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
        (f'status --daemons {NOBODY} more', 2, ''),
        (f'status --daemons {NOBODY}', 3, 'Connection refused'),
        (f'status --daemons {NOBODY} --json=maybe', 2, 'true nor false'),
        (f'status --daemons {NOBODY} --timeout_s 0', 2, 'is not a time'),
        (f'timeline --daemons {NOBODY}', 3, 'Connection refused'),
        (f'timeline --daemons {NOBODY} --since 5', 2, 'is not a stamp'),
        (f'timeline --daemons {NOBODY} --for_s nan', 2, 'is not a time'),
        (f'addresses --service s --daemon {NOBODY}', 3, 'Connection refused'),
        (f'addresses --service a/b --daemon {NOBODY}', 2, 'of a service'),
        ('addresses --service s', 2, ''),
        (f'request GET /a --service s --daemon {NOBODY}', 3, 'refused'),
        (f'request G=T /a --service s --daemon {NOBODY}', 2, 'HTTP method'),
        (f'request GET /a#b --service s --daemon {NOBODY}', 2, 'not a path'),
        (f'request GET /a --service s --daemon {NOBODY} -c x', 2, 'in full'),
        (f'request GET /a --service s --daemon {NOBODY} --onse', 2, ''),
    ],
)
def test_exit_codes(line, code, said, capfd):
    found, written = run(line.split())
    shown = capfd.readouterr()

    assert found == code
    assert said.strip('"') in written
    assert 'Traceback' not in written + shown.out + shown.err
    assert written or shown.out or shown.err


def test_a_failure_has_a_json_form_with_its_exit_code():
    found, written = run(['status', '--json', '--daemons', 'x'])
    document, _ = json.JSONDecoder().raw_decode(written)

    assert document['error'] == 'UsageError'
    assert document['exit_code'] == found


@pytest.mark.parametrize(
    ('problem', 'code', 'said'),
    [
        (ZeroDivisionError('odd'), 4, 'ZeroDivisionError: odd'),
        (OSError('disk'), 4, 'OSError: disk'),
        (KeyboardInterrupt(), 130, ''),
        (errors.RefusedError('No', 'Wait'), 1, 'sardinepier: No. Wait.'),
    ],
)
def test_any_failure_inside_becomes_a_code(monkeypatch, problem, code, said):
    async def fail(*_):
        await asyncio.sleep(0)
        raise problem

    monkeypatch.setattr('sardinepier.cli.status.report', fail)
    found, written = run(['status', '--daemons', NOBODY])

    assert found == code
    assert said in written
    assert 'Traceback' not in written


@hypothesis.given(st.ip_addresses(), st.integers(1, 65_535))
def test_every_endpoint_survives_its_text_form(ip, port):
    endpoint = endpoints.Endpoint(str(ip), port)
    assert endpoints.parse_endpoint(str(endpoint)) == endpoint


@hypothesis.given(st.text(max_size=40))
def test_any_other_text_is_a_usage_error(text):
    try:
        parsed = endpoints.parse_endpoint(text)
    except errors.UsageError as problem:
        assert 'Write <ip>:<port>' in str(problem)
    else:
        assert 0 < parsed.port < 65_536
