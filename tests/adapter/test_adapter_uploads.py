"""Memory use of an instance that gets many large bodies at once."""

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

MAX_BODY_BYTES = 67_108_864
LARGEST_BYTES = 60_000_000
LARGEST_CALLERS = 3
MANY_BYTES = 4_000_000
MANY_CALLERS = 60
MEMORY_MB = 300
MAX_RESIDENT_MB = 200
DEADLINE_MS = 15_000
PART_BYTES = 65_536
MIXED_BYTES = 1_000_000
MIXED_CALLERS = 100
SLOW_PAUSE_S = 0.2
SMALL_REQUESTS = 100
STATED_BYTES = 2_000_000
STALLED_CALLERS = 40
ORDINARY_UPLOADS = 28
CROWD = 800

pytestmark = pytest.mark.processes


class Target:
    """A target that reads each body, and knows the length of what it ran."""

    def __init__(self):
        self.ran = {}
        self.run_count = 0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, support.LOOPBACK)
        return self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                lines = head.split('\r\n')[1:-2]
                fields = dict(line.split(': ', 1) for line in lines)
                left = int(fields.get('Content-Length', 0))
                request_id = fields.get(names.HEADERS.attempt_id, '')
                self.ran[request_id] = left
                self.run_count += 1
                while left:
                    left -= len(await reader.read(min(left, PART_BYTES)))
                writer.write(support.answer(request_id))
        writer.close()


@pytest.fixture
async def target():
    started = Target()
    port = await started.start()
    yield started, port
    started.server.close()


@pytest.fixture
async def instance(tmp_path, standin, target, monkeypatch):
    monkeypatch.setattr(support, 'NAMES', names.HEADERS)
    configuration = store_standin.configuration()
    configuration['limits']['max_body_bytes'] = MAX_BODY_BYTES
    for path in configuration['hosts'][0]['paths']:
        path['timeout_s'] = DEADLINE_MS / 1000
    standin.put('op/config', configuration)
    address = f'{support.LOOPBACK}:{target[1]}'
    standin.put('servers/i-1', store_standin.worker(address=address, slots=90))
    running = instance_process.Instance(tmp_path, 'edge-1', standin.address)
    with running.path.open('a') as settings:
        settings.write(f'\nlimits.memory_mb={MEMORY_MB}\n')
    await running.start()
    await running.until_ready()
    yield running
    running.process.kill()
    await running.process.communicate()


async def begin_upload(instance, attempt_id, length):
    """Send a request that states the length of its body."""
    reader, writer = await asyncio.open_connection(
        instance.ip, instance.ports['front']
    )
    headers = {
        names.HEADERS.attempt_id: attempt_id,
        names.HEADERS.deadline_ms: str(DEADLINE_MS),
        'Content-Length': str(length),
    }
    writer.write(support.request('/once/1', 'POST', **headers))
    return reader, writer


async def upload(instance, attempt_id, length, pause_s=0):
    """Upload a body; return the status of the answer."""
    reader, writer = await begin_upload(instance, attempt_id, length)
    sending = asyncio.create_task(send_body(writer, length, pause_s))
    status, _, _ = await support.read_answer(reader)
    sending.cancel()
    writer.close()
    return status


async def send_body(writer, length, pause_s):
    with contextlib.suppress(ConnectionError):
        for start in range(0, length, PART_BYTES):
            writer.write(bytes(min(PART_BYTES, length - start)))
            await writer.drain()
            await asyncio.sleep(pause_s)


@pytest.mark.parametrize(
    ('count', 'length'),
    [(LARGEST_CALLERS, LARGEST_BYTES), (MANY_CALLERS, MANY_BYTES)],
)
async def test_uploads_at_once_take_bounded_memory(
    instance, target, count, length
):
    # Guards against bodies within the limits that together take more memory
    # than the instance has.
    idle_mb = resident.megabytes(instance.process, 'VmRSS')
    statuses = await asyncio.gather(
        *(upload(instance, f'id-{number}', length) for number in range(count))
    )
    peak_mb = resident.megabytes(instance.process, 'VmHWM')
    sys.stdout.write(
        f'resident {idle_mb:.0f} MB idle, {peak_mb:.0f} MB at most\n'
    )
    assert peak_mb < MAX_RESIDENT_MB
    assert set(statuses) <= {200, 503}
    assert 200 in statuses
    assert statuses.count(200) == len(target[0].ran)
    assert set(target[0].ran.values()) == {length}


async def stall(instance, attempt_id):
    """State a long body, send its beginning, and keep the connection open."""
    _, writer = await begin_upload(instance, attempt_id, STATED_BYTES)
    writer.write(bytes(1000))
    await writer.drain()
    return writer


async def test_stalled_uploads_take_no_memory_from_others(instance, target):
    # Guards against memory that is used up by stated lengths, so that ordinary
    # uploads are refused.
    writers = [
        await stall(instance, f'stalled-{number}')
        for number in range(STALLED_CALLERS)
    ]
    statuses = [
        await upload(instance, f'id-{number}', MIXED_BYTES)
        for number in range(ORDINARY_UPLOADS)
    ]
    peak_mb = resident.megabytes(instance.process, 'VmHWM')
    sys.stdout.write(f'resident {peak_mb:.0f} MB at most\n')
    for writer in writers:
        writer.close()
    assert set(statuses) == {200}
    assert len(target[0].ran) == ORDINARY_UPLOADS
    assert peak_mb < MAX_RESIDENT_MB


async def test_a_crowd_of_uploads_takes_bounded_memory(instance, target):
    # Guards against connections that read ahead without a limit on all while
    # their bodies wait for memory.
    statuses = await asyncio.gather(
        *(
            upload(instance, f'id-{number}', STATED_BYTES)
            for number in range(CROWD)
        )
    )
    peak_mb = resident.megabytes(instance.process, 'VmHWM')
    sys.stdout.write(
        f'resident {peak_mb:.0f} MB at most; {statuses.count(200)} served\n'
    )
    assert peak_mb < MAX_RESIDENT_MB
    assert set(statuses) <= {200, 503}
    assert 200 in statuses
    assert statuses.count(200) == len(target[0].ran) == target[0].run_count


async def small_durations_ms(instance, name):
    """Send small requests one after the other; return how long each took."""
    durations_ms = []
    for number in range(SMALL_REQUESTS):
        began_s = time.monotonic()
        assert await upload(instance, f'{name}-{number}', 10) == 200
        durations_ms.append((time.monotonic() - began_s) * 1000)
        await asyncio.sleep(0.03)
    return sorted(durations_ms)


async def test_slow_and_fast_uploads_beside_small_requests(instance, target):
    # Guards against small requests that wait behind large bodies.
    alone_ms = await small_durations_ms(instance, 'alone')
    uploads = asyncio.gather(
        *(
            upload(
                instance,
                f'large-{number}',
                MIXED_BYTES,
                SLOW_PAUSE_S * (number % 2),
            )
            for number in range(MIXED_CALLERS)
        )
    )
    beside_ms = await small_durations_ms(instance, 'beside')
    statuses = await uploads
    peak_mb = resident.megabytes(instance.process, 'VmHWM')
    sys.stdout.write(
        f'resident {peak_mb:.0f} MB at most; small requests p50 '
        f'{alone_ms[50]:.1f} ms alone, {beside_ms[50]:.1f} beside; p99 '
        f'{alone_ms[98]:.1f} alone, {beside_ms[98]:.1f} beside\n'
    )
    assert peak_mb < MAX_RESIDENT_MB
    assert set(statuses) <= {200, 503}
    assert statuses.count(200) + 2 * SMALL_REQUESTS == len(target[0].ran)
    assert target[0].run_count == len(target[0].ran)
