"""An instance whose lines nobody reads."""

import asyncio
import fcntl
import os
import signal

import entry_support as targets
import instance_process
import pytest
import store_standin as given

pytestmark = pytest.mark.processes

PIPE_BYTES = 4096
REQUESTS = 60


@pytest.fixture
async def stalled(tmp_path, standin, monkeypatch):
    """Yield an instance with its target; its standard output is full soon."""
    names = targets.header_names.HeaderNames(
        attempt_id='X-Sardinepier-Attempt-Id',
        signature='X-Sardinepier-Response-Signature',
    )
    monkeypatch.setattr(targets, 'NAMES', names)
    worker = targets.RawTarget('i-1')
    await worker.start()
    standin.put('op/config', given.configuration())
    standin.put(
        'servers/i-1',
        given.worker(address=f'127.0.0.1:{worker.port}'),
    )
    reading, writing = os.pipe()
    fcntl.fcntl(writing, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
    made = instance_process.Instance(tmp_path, 'edge-1', standin.address)
    await made.start(stdout=writing)
    os.close(writing)
    yield made, reading
    if made.process.returncode is None:
        made.process.kill()
    await made.process.wait()
    worker.server.close()
    os.close(reading)


async def test_requests_are_answered_while_nobody_reads_the_lines(stalled):
    """Guards against a daemon that stands still until its lines are read."""
    instance, _ = stalled
    async with asyncio.timeout(targets.TIMEOUT_S):
        await instance.until_ready()
        for number in range(REQUESTS):
            reader, writer = await instance.ask('/once/1', f'id-{number}')
            assert (await targets.read_answer(reader))[0] == 200
            writer.close()


@pytest.mark.parametrize('is_gone', [False, True])
async def test_an_exit_does_not_wait_for_whoever_reads_the_lines(
    stalled,
    is_gone,
):
    """Guards against an exit that hangs on its last line."""
    instance, reading = stalled
    async with asyncio.timeout(targets.TIMEOUT_S):
        await instance.until_ready()
        for number in range(REQUESTS):
            reader, writer = await instance.ask('/once/1', f'id-{number}')
            await targets.read_answer(reader)
            writer.close()
        if is_gone:
            os.dup2(os.open(os.devnull, os.O_RDONLY), reading)
        instance.process.send_signal(signal.SIGTERM)
        assert await instance.process.wait() == 0
