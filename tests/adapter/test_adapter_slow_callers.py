"""Memory use of an instance with large answers, for slow callers or of slow targets."""

import asyncio
import contextlib
import sys
import time

import entry_support as support
import instance_process
import pytest
import resident
import store_standin
from sardinepier_adapter import names

CALLERS = 200
BODY = bytes(range(256)) * 1954
"""500 kB."""

BYTES_PER_S = 50_000
MAX_RESIDENT_MB = 128
"""Limit for a daemon at the target size; the smallest instances have 200 MB."""

START_INTERVAL_S = 0.01
"""Between the starts of two callers; all have started after two seconds."""

SMALL_PER_S = 20
LARGE_PATH = '/once/large'
SMALL_PATH = '/once/small'
STALLED_PATH = '/once/stalled'
STALLED_BODY = BODY * 2
STALLED_BYTES = len(STALLED_BODY) - 1000

pytestmark = pytest.mark.processes


class Target:
    """A target that answers at once, with a large body for ``LARGE_PATH``."""

    def __init__(self):
        self.stalled = 0
        self.may_end = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve,
            support.LOOPBACK,
            0,
        )

    @property
    def port(self):
        return self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                if STALLED_PATH in head:
                    await self._stall(head, writer)
                    continue
                body = BODY if LARGE_PATH in head else support.BODY
                writer.write(_head(head, body) + body)
                await writer.drain()
        writer.close()

    async def _stall(self, head, writer):
        """Send most of an answer, and the end once it may."""
        writer.write(_head(head, STALLED_BODY) + STALLED_BODY[:STALLED_BYTES])
        await writer.drain()
        self.stalled += 1
        await self.may_end.wait()
        writer.write(STALLED_BODY[STALLED_BYTES:])


def _head(request, body):
    fields = dict(line.split(': ', 1) for line in request.split('\r\n')[1:-2])
    attempt_id = fields[names.HEADERS.attempt_id]
    lines = (
        'HTTP/1.1 200 OK',
        f'{names.HEADERS.attempt_id}: {attempt_id}',
        f'{names.HEADERS.signature}: proof-of-{attempt_id}',
        f'Content-Length: {len(body)}',
        '',
        '',
    )
    return '\r\n'.join(lines).encode()


@pytest.fixture
async def target():
    started = Target()
    await started.start()
    yield started
    started.server.close()


@pytest.fixture
async def instance(tmp_path, standin, target):
    standin.put('op/config', store_standin.configuration())
    standin.put(
        'servers/i-1',
        store_standin.worker(
            address=f'127.0.0.1:{target.port}', slots=CALLERS + 50
        ),
    )
    running = instance_process.Instance(tmp_path, 'edge-1', standin.address)
    await running.start()
    await running.until_ready()
    yield running
    running.process.kill()
    await running.process.communicate()


async def read_slowly(instance, number):
    await asyncio.sleep(number * START_INTERVAL_S)
    reader, writer = await instance.send_request(LARGE_PATH, f'id-{number}')
    head = await reader.readuntil(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 200')
    left = len(BODY)
    while left:
        left -= len(await reader.readexactly(min(left, BYTES_PER_S // 10)))
        await asyncio.sleep(0.1)
    writer.close()


async def request_small(instance, number):
    """Request a small answer and return its duration in ms."""
    started_s = time.monotonic()
    reader, writer = await instance.send_request(SMALL_PATH, f'small-{number}')
    status, _, _ = await support.read_answer(reader)
    writer.close()
    assert status == 200
    return (time.monotonic() - started_s) * 1000


async def test_slow_callers_of_large_answers_take_bounded_memory(instance):
    idle_mb = resident.megabytes(instance.process, 'VmRSS')
    slow_callers = [
        asyncio.ensure_future(read_slowly(instance, number))
        for number in range(CALLERS)
    ]
    small_ms = []
    while not all(caller.done() for caller in slow_callers):
        small_ms.append(await request_small(instance, len(small_ms)))
        await asyncio.sleep(1 / SMALL_PER_S)
    for caller in slow_callers:
        caller.result()
    peak_mb = resident.megabytes(instance.process, 'VmHWM')
    small_ms.sort()
    sys.stdout.write(
        f'resident {idle_mb:.0f} MB idle, {peak_mb:.0f} MB at most; '
        f'concurrent small answers: p50 {small_ms[len(small_ms) // 2]:.1f} ms, '
        f'p99 {small_ms[int(len(small_ms) * 0.99)]:.1f} ms '
        f'({len(small_ms)} requests)\n',
    )
    assert peak_mb <= MAX_RESIDENT_MB


async def read_whole(instance, number):
    reader, writer = await instance.send_request(STALLED_PATH, f'id-{number}')
    answer = await support.read_answer(reader)
    writer.close()
    return answer


async def test_answers_of_slow_targets_take_bounded_memory(instance, target):
    # Guards against answers that count as buffered only once they are whole, so
    # that any number of half-read ones is held.
    requests = [
        asyncio.ensure_future(read_whole(instance, number))
        for number in range(CALLERS)
    ]
    await support.wait_until(lambda: target.stalled == CALLERS)
    target.may_end.set()
    answers = await asyncio.gather(*requests)
    peak_mb = resident.megabytes(instance.process, 'VmHWM')
    sys.stdout.write(f'resident {peak_mb:.0f} MB at most\n')
    assert {status for status, _, _ in answers} == {200}
    assert {body for _, _, body in answers} == {STALLED_BODY}
    assert peak_mb <= MAX_RESIDENT_MB
