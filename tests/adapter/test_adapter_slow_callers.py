"""Memory of an instance whose callers read large answers slowly."""

import asyncio
import contextlib
import pathlib
import sys
import time

import entry_support as targets
import instance_process
import pytest
import store_standin as given
from sardinepier_adapter import names

CALLERS = 200
BODY = bytes(range(256)) * 1954
"""500 kB."""

BYTES_PER_S = 50_000
MOST_RESIDENT_MB = 128
"""What a daemon may take at the target size; the smallest instances have 200."""

APART_S = 0.01
"""Between the first requests of two callers: all are there after two seconds."""

SMALL_PER_S = 20
LARGE_PATH = '/once/large'
SMALL_PATH = '/once/small'

pytestmark = pytest.mark.processes


class Target:
    """Answers at once, with a large body where that is asked for."""

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve,
            targets.LOOPBACK,
            0,
        )

    @property
    def port(self):
        return self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                body = BODY if LARGE_PATH in head else targets.BODY
                writer.write(_head(head, body) + body)
                await writer.drain()
        writer.close()


def _head(request, body):
    fields = dict(line.split(': ', 1) for line in request.split('\r\n')[1:-2])
    name = fields[names.HEADERS.attempt_id]
    lines = (
        'HTTP/1.1 200 OK',
        f'{names.HEADERS.attempt_id}: {name}',
        f'{names.HEADERS.signature}: proof-of-{name}',
        f'Content-Length: {len(body)}',
        '',
        '',
    )
    return '\r\n'.join(lines).encode()


def resident_mb(process, field):
    """Return a figure of the process, in MB, from the system's page on it."""
    lines = pathlib.Path(f'/proc/{process.pid}/status').read_text()
    found = next(one for one in lines.splitlines() if one.startswith(field))
    return int(found.split()[1]) / 1000


@pytest.fixture
async def instance(tmp_path, standin):
    target = Target()
    await target.start()
    standin.put('op/config', given.configuration())
    standin.put(
        'servers/i-1',
        given.worker(address=f'127.0.0.1:{target.port}', slots=CALLERS + 50),
    )
    made = instance_process.Instance(tmp_path, 'edge-1', standin.address)
    await made.start()
    await made.until_ready()
    yield made
    made.process.kill()
    await made.process.communicate()
    target.server.close()


async def read_slowly(instance, number):
    await asyncio.sleep(number * APART_S)
    reader, writer = await instance.ask(LARGE_PATH, f'id-{number}')
    head = await reader.readuntil(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 200')
    left = len(BODY)
    while left:
        left -= len(await reader.readexactly(min(left, BYTES_PER_S // 10)))
        await asyncio.sleep(0.1)
    writer.close()


async def ask_small(instance, number):
    """Return how long a small answer took, in ms."""
    began_s = time.monotonic()
    reader, writer = await instance.ask(SMALL_PATH, f'small-{number}')
    status, _, _ = await targets.read_answer(reader)
    writer.close()
    assert status == 200
    return (time.monotonic() - began_s) * 1000


async def test_slow_callers_of_large_answers_take_bounded_memory(instance):
    idle_mb = resident_mb(instance.process, 'VmRSS')
    slow = [
        asyncio.ensure_future(read_slowly(instance, number))
        for number in range(CALLERS)
    ]
    small_ms = []
    while not all(one.done() for one in slow):
        small_ms.append(await ask_small(instance, len(small_ms)))
        await asyncio.sleep(1 / SMALL_PER_S)
    for one in slow:
        one.result()
    most_mb = resident_mb(instance.process, 'VmHWM')
    small_ms.sort()
    sys.stdout.write(
        f'resident {idle_mb:.0f} MB idle, {most_mb:.0f} MB at most; small '
        f'answers beside: p50 {small_ms[len(small_ms) // 2]:.1f} ms, '
        f'p99 {small_ms[int(len(small_ms) * 0.99)]:.1f} ms '
        f'({len(small_ms)} asked)\n',
    )
    assert most_mb <= MOST_RESIDENT_MB
