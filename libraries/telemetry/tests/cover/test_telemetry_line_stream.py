"""Log lines written to a pipe whose reader stalls or is gone."""

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
PIPE_SIZE_BYTES = 16384


class Seen(line_events.LineEvent, frozen=True):
    number: int
    text: str = 'x' * 200


@pytest.fixture
def pipe():
    """Yield the read end of a small pipe that the log is written to."""
    root = logging.getLogger()
    handlers, level = tuple(root.handlers), root.level
    reading, writing = os.pipe()
    fcntl.fcntl(writing, fcntl.F_SETPIPE_SZ, PIPE_SIZE_BYTES)
    with os.fdopen(writing, 'w') as stream:
        logs.configure('info', 'd1', stream=stream)
        yield reading
        loguru.logger.remove()
    logging.basicConfig(handlers=handlers, level=level, force=True)
    os.close(reading)


def write(first, count, **options):
    """Write lines in a daemon thread, so that a blocked write fails the test."""

    def write_all():
        for number in range(first, first + count):
            logs.write(Seen(number=number), **options)

    thread = threading.Thread(target=write_all, daemon=True)
    thread.start()
    thread.join(TIMEOUT_S)
    assert not thread.is_alive(), 'a write blocks while the reader stalls'


def read(reading):
    """Return all lines; each further event flushes buffered ones."""
    raw = os.read(reading, 65536)
    newest = raw
    while b'"seen"' in newest:
        logs.event('poll')
        newest = os.read(reading, 65536)
        raw += newest
    logs.event('poll')
    raw += os.read(reading, 65536)
    return [json.loads(line) for line in raw.splitlines()]


def numbers(lines):
    return [
        line['fields']['number'] for line in lines if line['event'] == 'seen'
    ]


def test_lines_are_buffered_without_blocking_while_the_reader_stalls(pipe):
    """Guards against a daemon that blocks until its log lines are read."""
    write(0, 200)
    assert numbers(read(pipe)) == list(range(200))


def test_dropped_lines_are_counted_and_reported(pipe):
    """Guards against log lines that are dropped silently."""
    write(0, 3000)
    lines = read(pipe)
    lost = [line for line in lines if line['event'] == 'lines-lost']
    assert len(lost) == 1
    assert lost[0]['fields']['lines'] == 3000 - len(numbers(lines))
    assert 500 < len(numbers(lines)) < 2500


def test_other_lines_are_written_before_routine_ones(pipe):
    """Guards against routine lines that displace those about failures."""
    write(0, 3000, is_routine=True)
    write(5000, 100)
    found = numbers(read(pipe))
    first = found.index(5000)
    assert found[first : first + 100] == list(range(5000, 5100))
    assert first < 200 < len(found) - 100


def test_a_closed_pipe_causes_no_errors(pipe, capfd):
    """Guards against a traceback for each line and a hanging exit."""
    reading = os.dup(pipe)
    os.close(reading)
    os.dup2(os.open(os.devnull, os.O_RDONLY), pipe)
    write(0, 500)
    assert not capfd.readouterr().err


async def test_buffered_lines_are_written_without_another_line(pipe):
    """Guards against buffered lines that stay until the next line is written."""
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
