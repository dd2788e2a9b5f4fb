"""Lines to a pipe whose reader stalls, or is gone."""

import asyncio
import fcntl
import json
import logging
import os
import threading

import loguru
import pytest
from sardinepier.telemetry import line_events, logs

TIMEOUT_S = 20.0
PIPE_BYTES = 16384


class Seen(line_events.LineEvent, frozen=True):
    number: int
    text: str = 'x' * 200


@pytest.fixture
def pipe():
    """Yield the end to read of a small pipe that the log writes to."""
    root = logging.getLogger()
    handlers, level = tuple(root.handlers), root.level
    reading, writing = os.pipe()
    fcntl.fcntl(writing, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
    with os.fdopen(writing, 'w') as stream:
        logs.configure('info', 'd1', stream=stream)
        yield reading
        loguru.logger.remove()
    logging.basicConfig(handlers=handlers, level=level, force=True)
    os.close(reading)


def write(first, count, **told):
    """Write lines in a thread, which would be left behind if one waits."""

    def write_all():
        for number in range(first, first + count):
            logs.write(Seen(number=number), **told)

    thread = threading.Thread(target=write_all, daemon=True)
    thread.start()
    thread.join(TIMEOUT_S)
    assert not thread.is_alive(), 'a line waits for its reader'


def read(reading):
    """Return the lines that are there, with what flushing brings after."""
    raw = os.read(reading, 65536)
    newest = raw
    while b'"seen"' in newest:
        logs.event('look')
        newest = os.read(reading, 65536)
        raw += newest
    logs.event('look')
    raw += os.read(reading, 65536)
    return [json.loads(line) for line in raw.splitlines()]


def numbers(lines):
    return [one['fields']['number'] for one in lines if one['event'] == 'seen']


def test_a_reader_that_stalls_stops_nobody_and_loses_nothing_at_first(pipe):
    """Guards against a daemon that stands still until its lines are read."""
    write(0, 200)
    assert numbers(read(pipe)) == list(range(200))


def test_what_is_lost_is_counted_and_told(pipe):
    """Guards against lines that are lost without a word."""
    write(0, 3000)
    lines = read(pipe)
    lost = [one for one in lines if one['event'] == 'lines-lost']
    assert len(lost) == 1
    assert lost[0]['fields']['lines'] == 3000 - len(numbers(lines))
    assert 500 < len(numbers(lines)) < 2500


def test_failures_go_before_what_is_routine(pipe):
    """Guards against lines about failures that have no place for others."""
    write(0, 3000, is_routine=True)
    write(5000, 100)
    found = numbers(read(pipe))
    first = found.index(5000)
    assert found[first : first + 100] == list(range(5000, 5100))
    assert first < 200 < len(found) - 100


def test_a_reader_that_is_gone_costs_nothing(pipe, capfd):
    """Guards against a traceback for each line, and against an exit that hangs."""
    reading = os.dup(pipe)
    os.close(reading)
    os.dup2(os.open(os.devnull, os.O_RDONLY), pipe)
    write(0, 500)
    assert not capfd.readouterr().err


async def test_lines_are_written_without_further_ones(pipe):
    """Guards against last lines that wait for a next one."""
    write(0, 100)
    for number in range(100, 140):
        logs.write(Seen(number=number))
    raw = b''
    os.set_blocking(pipe, False)
    async with asyncio.timeout(TIMEOUT_S):
        while raw.count(b'\n') < 140:
            try:
                raw += os.read(pipe, 65536)
            except BlockingIOError:
                await asyncio.sleep(0.01)
    assert numbers(map(json.loads, raw.splitlines())) == list(range(140))
