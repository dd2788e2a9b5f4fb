"""Entry daemons as separate processes, started as the platform does."""

import asyncio
import json
import signal

import entry_support as support
import instance_process
import pytest
import store_standin
from sardinepier_adapter import names

pytestmark = pytest.mark.processes


@pytest.fixture
async def worker(monkeypatch):
    names = support.header_names.HeaderNames(
        attempt_id='X-Sardinepier-Attempt-Id',
        signature='X-Sardinepier-Response-Signature',
    )
    monkeypatch.setattr(support, 'NAMES', names)
    target = support.RawTarget('i-1')
    await target.start()
    yield target
    target.server.close()


@pytest.fixture
async def instances(tmp_path, standin, worker):
    standin.put('op/config', store_standin.configuration())
    standin.put(
        'servers/i-1',
        store_standin.worker(address=f'127.0.0.1:{worker.port}'),
    )
    first = instance_process.Instance(tmp_path, 'edge-1', standin.address)
    second = instance_process.Instance(
        tmp_path,
        'edge-2',
        standin.address,
        seeds=first.address('control'),
    )
    for instance in (first, second):
        await instance.start()
    yield first, second
    for instance in (first, second):
        if instance.process.returncode is None:
            instance.process.kill()
        await instance.process.communicate()


async def test_metrics_are_served(instances):
    first, _ = instances
    await first.until_ready()
    reader, writer = await first.send_request('/kelo/books/1', 'id-1')
    await support.read_answer(reader)
    writer.close()
    reader, writer = await asyncio.open_connection(
        first.ip,
        names.METRICS_PORT,
    )
    writer.write(b'GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n')
    status, _, body = await support.read_answer(reader)
    writer.close()
    assert status == 200
    assert b'sardinepier_configuration_version 7' in body
    assert b'sardinepier_requests_total{' in body
    assert b'sardinepier_forwarded_bytes_total{crosses_zones="no"}' in body


async def test_traffic_is_logged_before_the_exit(instances):
    # Guards against sums that are lost with a daemon that is stopped.
    _, joining = instances
    await joining.until_ready()
    joining.process.send_signal(signal.SIGTERM)
    async with asyncio.timeout(support.TIMEOUT_S):
        output = await joining.process.communicate()
    lines = b''.join(part for part in output if part).splitlines()
    logged = {line['event']: line for line in map(json.loads, lines)}
    assert list(logged).index('traffic') < list(logged).index('stopped')
    fields = logged['traffic']['fields']
    assert fields['within_zone_bytes'] + fields['unknown_zone_bytes'] > 0


async def test_requests_are_forwarded_and_the_exit_breaks_none(
    instances,
    worker,
    standin,
):
    first, second = instances
    for instance in instances:
        await instance.until_ready()
    status, _, body = await first.get(
        'directory',
        '/api/resolve?name=a.example&region=r&zone=z1',
    )
    resolved = json.loads(body)
    assert status == 200
    assert 0 < resolved['ttl_s'] <= 5
    assert set(resolved['addresses']) <= {
        instance.address('front') for instance in instances
    }

    reader, writer = await first.send_request('/once/1', 'id-1')
    status, headers, body = await support.read_answer(reader)
    assert (status, body) == (200, support.BODY)
    assert headers['X-Sardinepier-Response-Signature'] == 'proof-of-id-1'

    worker.behaviours = ['gated']
    writer.close()
    reader, writer = await first.send_request('/once/2', 'id-2')
    await support.wait_until(lambda: len(worker.received) == 2)
    first.process.send_signal(signal.SIGTERM)
    await first.until_ready(503)
    worker.gate.set()
    status, headers, body = await support.read_answer(reader)
    assert (status, body) == (200, support.BODY)
    assert headers['Connection'] == 'close'
    writer.close()
    async with asyncio.timeout(support.TIMEOUT_S):
        assert await first.process.wait() == 0


async def test_a_new_configuration_reaches_both_instances(instances, standin):
    for instance in instances:
        await instance.until_ready()
    renamed = json.loads(
        json.dumps(store_standin.configuration(9)).replace('/once/', '/later/'),
    )
    standin.put('op/config', renamed)
    for instance in instances:
        await instance.wait_for_status('front', '/later/1', 200)
        assert (await instance.get('front', '/once/1'))[0] == 404


async def test_a_missing_settings_file_ends_the_process_with_one_line(
    tmp_path, standin
):
    instance = instance_process.Instance(tmp_path, 'edge-1', standin.address)
    instance.path.unlink()
    await instance.start()
    printed, _ = await instance.process.communicate()
    lines = [json.loads(line) for line in printed.splitlines()]
    assert instance.process.returncode == 1
    assert lines[-1]['event'] == 'daemon-failed'
    assert 'cannot be read' in lines[-1]['message']
