"""An instance whose standard output is not read."""

import asyncio
import fcntl
import os
import signal

import entry_support as support
import instance_process
import pytest
import store_standin

pytestmark = pytest.mark.processes

PIPE_BYTES = 4096
REQUESTS = 60


@pytest.fixture
async def stalled(tmp_path, standin, monkeypatch):
    """Yield an instance whose output pipe fills up soon, and the pipe."""
    names = support.header_names.HeaderNames(
        attempt_id='X-Sardinepier-Attempt-Id',
        signature='X-Sardinepier-Response-Signature',
    )
    monkeypatch.setattr(support, 'NAMES', names)
    worker = support.RawTarget('i-1')
    await worker.start()
    standin.put('op/config', store_standin.configuration())
    standin.put(
        'servers/i-1',
        store_standin.worker(address=f'127.0.0.1:{worker.port}'),
    )
    read_end, write_end = os.pipe()
    fcntl.fcntl(write_end, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
    running = instance_process.Instance(tmp_path, 'edge-1', standin.address)
    await running.start(stdout=write_end)
    os.close(write_end)
    yield running, read_end
    if running.process.returncode is None:
        running.process.kill()
    await running.process.wait()
    worker.server.close()
    os.close(read_end)


async def test_requests_are_answered_while_the_output_is_not_read(stalled):
    """Guards against a daemon that blocks on a full output pipe."""
    instance, _ = stalled
    async with asyncio.timeout(support.TIMEOUT_S):
        await instance.until_ready()
        for number in range(REQUESTS):
            reader, writer = await instance.send_request(
                '/once/1', f'id-{number}'
            )
            assert (await support.read_answer(reader))[0] == 200
            writer.close()


@pytest.mark.parametrize('is_gone', [False, True])
async def test_the_exit_does_not_wait_for_the_reader_of_the_output(
    stalled,
    is_gone,
):
    """Guards against an exit that blocks on writing the last log lines."""
    instance, read_end = stalled
    async with asyncio.timeout(support.TIMEOUT_S):
        await instance.until_ready()
        for number in range(REQUESTS):
            reader, writer = await instance.send_request(
                '/once/1', f'id-{number}'
            )
            await support.read_answer(reader)
            writer.close()
        if is_gone:
            os.dup2(os.open(os.devnull, os.O_RDONLY), read_end)
        instance.process.send_signal(signal.SIGTERM)
        assert await instance.process.wait() == 0
