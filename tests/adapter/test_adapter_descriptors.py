"""An instance whose callers keep more connections than it has descriptors."""

import asyncio
import resource
import signal

import entry_support as support
import instance_process
import pytest
import store_standin
from sardinepier_adapter import names

MAX_DESCRIPTORS = 400
IDLE_CALLERS = 600
REQUESTS = 40
IDLE_TIMEOUT_S = 600
PAUSE_S = 1

pytestmark = pytest.mark.processes


@pytest.fixture
async def instance(tmp_path, standin, monkeypatch):
    monkeypatch.setattr(support, 'NAMES', names.HEADERS)
    target = support.RawTarget('i-1')
    await target.start()
    configuration = store_standin.configuration()
    configuration['limits']['idle_timeout_s'] = IDLE_TIMEOUT_S
    standin.put('op/config', configuration)
    standin.put(
        'servers/i-1',
        store_standin.worker(address=f'{support.LOOPBACK}:{target.port}'),
    )
    running = instance_process.Instance(tmp_path, 'edge-1', standin.address)
    with running.path.open('a') as settings:
        settings.write(f'\nlimits.max_fds={MAX_DESCRIPTORS}\n')
    await running.start()
    limits = (MAX_DESCRIPTORS, MAX_DESCRIPTORS)
    resource.prlimit(running.process.pid, resource.RLIMIT_NOFILE, limits)
    await running.until_ready()
    yield running
    running.process.kill()
    await running.process.communicate()
    target.server.close()


async def connect_callers(instance):
    """Return connections that are not used for requests."""
    return [
        await asyncio.open_connection(instance.ip, instance.ports['front'])
        for _ in range(IDLE_CALLERS)
    ]


async def statuses_of_requests(instance):
    """Return the statuses of requests on a connection each."""
    statuses = set()
    for number in range(REQUESTS):
        reader, writer = await instance.send_request('/once/1', f'id-{number}')
        async with asyncio.timeout(support.TIMEOUT_S):
            status, _, _ = await support.read_answer(reader)
        statuses.add(status)
        writer.close()
    return statuses


async def test_idle_callers_leave_descriptors_for_requests(instance):
    # Guards against a daemon that can no longer accept callers or reach
    # targets because of connections that nobody uses.
    idle = await connect_callers(instance)
    assert await statuses_of_requests(instance) == {200}
    for _, writer in idle:
        writer.close()


async def test_callers_that_connect_during_a_pause_leave_descriptors(instance):
    # Guards against a daemon that accepts all waiting connections at once, runs
    # out of descriptors and spends its time on reporting that.
    instance.process.send_signal(signal.SIGSTOP)
    asyncio.get_running_loop().call_later(
        PAUSE_S, instance.process.send_signal, signal.SIGCONT
    )
    idle = await connect_callers(instance)
    assert await statuses_of_requests(instance) == {200}
    for _, writer in idle:
        writer.close()
