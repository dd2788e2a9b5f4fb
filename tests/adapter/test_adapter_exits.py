"""Requests that a daemon has read are answered when it exits."""

import asyncio
import contextlib
import os
import signal

import entry_support as support
import instance_process
import pytest
import store_standin
from sardinepier_adapter import names

pytestmark = pytest.mark.processes

LARGE_BODY = bytes(range(256)) * 4000
"""More than the socket buffers of a caller that reads nothing hold."""

GRACE_S = 3
STOPPED_LISTENING_S = 1.7
"""Time after SIGTERM by which the instance accepts no connections any more."""


@pytest.fixture
async def worker(monkeypatch):
    monkeypatch.setattr(support, 'NAMES', names.HEADERS)
    target = support.RawTarget('i-1')
    await target.start()
    yield target
    target.server.close()


@pytest.fixture
async def instance(tmp_path, standin, worker):
    configuration = store_standin.configuration()
    for path in configuration['hosts'][0]['paths']:
        path.pop('traffic_split', None)
        path['service'] = 'books'
    once = configuration['hosts'][0]['paths'][-1]
    configuration['hosts'][0]['paths'].append(
        {**once, 'name': 'r-3', 'prefix': '/long/', 'timeout_s': 20}
    )
    standin.put('op/config', configuration)
    standin.put(
        'servers/i-1',
        store_standin.worker(address=f'127.0.0.1:{worker.port}', slots=20),
    )
    running = instance_process.Instance(
        tmp_path, 'edge-1', standin.address, grace_s=GRACE_S
    )
    await running.start()
    await running.until_ready()
    yield running
    if running.process.returncode is None:
        running.process.kill()
    await running.process.communicate()


async def connect(instance, **options):
    return await asyncio.open_connection(
        instance.ip, instance.ports['front'], **options
    )


def request(path, attempt_id):
    headers = {names.HEADERS.attempt_id: attempt_id}
    return support.request(path, **headers)


async def send_sigterm(instance):
    instance.process.send_signal(signal.SIGTERM)
    await instance.until_ready(503)


async def exit_code(instance):
    async with asyncio.timeout(support.TIMEOUT_S):
        return await instance.process.wait()


async def test_pipelined_requests_at_targets_are_answered(instance, worker):
    # Guards against a response that closes the connection before the answers
    # to requests behind it that targets already run.
    worker.behaviours = ['gated']
    reader, writer = await connect(instance)
    for number in range(3):
        writer.write(request('/books/1', f'id-{number}'))
    await support.wait_until(lambda: len(worker.received) == 3)
    await send_sigterm(instance)
    worker.gate.set()
    answers = [await support.read_answer(reader) for _ in range(3)]
    assert [status for status, _, _ in answers] == [200, 200, 200]
    assert answers[-1][1]['Connection'] == 'close'
    writer.close()
    assert await exit_code(instance) == 0


async def test_no_request_is_accepted_that_the_exit_would_cut_off(
    instance, worker
):
    # Guards against requests on kept connections that arrive shortly before
    # the end of the grace time and are cut off by it.
    kept_reader, kept_writer = await connect(instance)
    kept_writer.write(request('/once/1', 'id-0'))
    assert (await support.read_answer(kept_reader))[0] == 200
    worker.behaviours = ['gated']
    reader, writer = await connect(instance)
    writer.write(request('/once/2', 'id-1'))
    await support.wait_until(lambda: len(worker.received) == 2)
    await send_sigterm(instance)
    await asyncio.sleep(STOPPED_LISTENING_S)
    with contextlib.suppress(ConnectionError):
        kept_writer.write(request('/once/3', 'id-2'))
        await kept_reader.read()
    assert len(worker.received) == 2
    worker.gate.set()
    assert (await support.read_answer(reader))[0] == 200
    writer.close()
    kept_writer.close()
    assert await exit_code(instance) == 0


async def test_a_slow_caller_gets_the_whole_answer_before_the_exit(
    instance, worker
):
    # Guards against an exit that discards the bytes of answers that were
    # complete, but not yet sent to callers that read slowly.
    worker.behaviours = [support.with_body(LARGE_BODY)]
    reader, writer = await connect(instance, limit=4096)
    writer.write(request('/once/1', 'id-0'))
    await support.wait_until(lambda: len(worker.received) == 1)
    await send_sigterm(instance)
    await asyncio.sleep(STOPPED_LISTENING_S)
    head = await reader.readuntil(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 200')
    assert await reader.readexactly(len(LARGE_BODY)) == LARGE_BODY
    writer.close()
    assert await exit_code(instance) == 0


async def test_no_sighup_ends_a_daemon_that_starts_or_exits(tmp_path, standin):
    # Guards against a signal that reaches a process before its handler is
    # installed, or after it was removed.
    standin.put('op/config', store_standin.configuration())
    running = instance_process.Instance(tmp_path, 'edge-1', standin.address)
    await running.start()
    await support.wait_until(running.handles_sighup)
    before_ticks = running.processor_ticks()
    ready = asyncio.ensure_future(running.until_ready())
    while not ready.done():
        running.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.005)
    await ready
    assert before_ticks < running.processor_ticks() / 4
    running.process.send_signal(signal.SIGTERM)
    # Popen.send_signal would take the exit code from the event loop.
    pidfd = os.pidfd_open(running.process.pid)
    with contextlib.suppress(ProcessLookupError):
        while running.process.returncode is None:
            signal.pidfd_send_signal(pidfd, signal.SIGHUP)
            await asyncio.sleep(0.001)
    os.close(pidfd)
    assert await exit_code(running) == 0
    await running.process.communicate()


@pytest.mark.parametrize('is_paused', [False, True])
async def test_a_request_that_outlasts_the_exit_gets_an_answer(
    instance, worker, is_paused
):
    # Guards against connections that close without a byte: many HTTP libraries
    # then send a DELETE again, while the target runs it. A daemon that is paused
    # until after its grace time answers, too.
    worker.behaviours = ['gated']
    reader, writer = await connect(instance)
    deadline = {names.HEADERS.deadline_ms: '9000'}
    writer.write(support.request('/long/1', 'DELETE', **deadline))
    await support.wait_until(lambda: len(worker.received) == 1)
    await send_sigterm(instance)
    if is_paused:
        instance.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(GRACE_S)
        instance.process.send_signal(signal.SIGCONT)
    status, headers, _ = await support.read_answer(reader)
    assert (status, headers['Connection']) == (502, 'close')
    assert names.HEADERS.signature not in headers
    writer.close()
    worker.gate.set()
    assert await exit_code(instance) == 0
