"""The program that the platform starts, as processes of their own."""

import asyncio
import json
import signal

import entry_support as targets
import instance_process
import pytest
import store_standin as given
from sardinepier_adapter import names

pytestmark = pytest.mark.processes


@pytest.fixture
async def worker(monkeypatch):
    names = targets.header_names.HeaderNames(
        attempt_id='X-Sardinepier-Attempt-Id',
        signature='X-Sardinepier-Response-Signature',
    )
    monkeypatch.setattr(targets, 'NAMES', names)
    made = targets.RawTarget('i-1')
    await made.start()
    yield made
    made.server.close()


@pytest.fixture
async def instances(tmp_path, standin, worker):
    standin.put('op/config', given.configuration())
    standin.put(
        'servers/i-1',
        given.worker(address=f'127.0.0.1:{worker.port}'),
    )
    first = instance_process.Instance(tmp_path, 'edge-1', standin.address)
    second = instance_process.Instance(
        tmp_path,
        'edge-2',
        standin.address,
        seeds=first.address('control'),
    )
    for one in (first, second):
        await one.start()
    yield first, second
    for one in (first, second):
        if one.process.returncode is None:
            one.process.kill()
        await one.process.communicate()


async def test_the_figures_can_be_read(instances):
    first, _ = instances
    await first.until_ready()
    reader, writer = await first.ask('/kelo/books/1', 'id-1')
    await targets.read_answer(reader)
    writer.close()
    reader, writer = await asyncio.open_connection(
        first.ip,
        names.METRICS_PORT,
    )
    writer.write(b'GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n')
    status, _, body = await targets.read_answer(reader)
    writer.close()
    assert status == 200
    assert b'sardinepier_configuration_version 7' in body
    assert b'sardinepier_requests_total{' in body


async def test_a_request_finds_its_way_and_the_exit_cuts_none(
    instances,
    worker,
    standin,
):
    first, second = instances
    for one in instances:
        await one.until_ready()
    status, _, body = await first.get(
        'directory',
        '/api/resolve?name=a.example&region=r&zone=z1',
    )
    named = json.loads(body)
    assert status == 200
    assert 0 < named['ttl_s'] <= 5
    assert set(named['addresses']) <= {
        one.address('front') for one in instances
    }

    reader, writer = await first.ask('/once/1', 'id-1')
    status, headers, body = await targets.read_answer(reader)
    assert (status, body) == (200, targets.BODY)
    assert headers['X-Sardinepier-Response-Signature'] == 'proof-of-id-1'

    worker.behaviours = ['gated']
    writer.close()
    reader, writer = await first.ask('/once/2', 'id-2')
    await targets.wait_until(lambda: len(worker.seen) == 2)
    first.process.send_signal(signal.SIGTERM)
    await first.until_ready(503)
    worker.gate.set()
    status, headers, body = await targets.read_answer(reader)
    assert (status, body) == (200, targets.BODY)
    assert headers['Connection'] == 'close'
    writer.close()
    async with asyncio.timeout(targets.TIMEOUT_S):
        assert await first.process.wait() == 0


async def test_a_new_configuration_reaches_both(instances, standin):
    for one in instances:
        await one.until_ready()
    renamed = json.loads(
        json.dumps(given.configuration(9)).replace('/once/', '/later/'),
    )
    standin.put('op/config', renamed)
    for one in instances:
        await one.until('front', '/later/1', 200)
        assert (await one.get('front', '/once/1'))[0] == 404


async def test_a_missing_settings_file_ends_it_with_one_line(tmp_path, standin):
    lost = instance_process.Instance(tmp_path, 'edge-1', standin.address)
    lost.path.unlink()
    await lost.start()
    printed, _ = await lost.process.communicate()
    lines = [json.loads(line) for line in printed.splitlines()]
    assert lost.process.returncode == 1
    assert lines[-1]['event'] == 'daemon-failed'
    assert 'cannot be read' in lines[-1]['message']
