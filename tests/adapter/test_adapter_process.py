"""The program that the platform starts, as processes of their own."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import sys

import entry_support as targets
import pytest
import store_standin as given
from sardinepier_adapter import names

ROOT = pathlib.Path(__file__).parents[2]
LIBRARIES = ROOT / 'libraries'
PORTS = ('front', 'ready', 'control', 'directory')

pytestmark = pytest.mark.processes


def free_ports(count):
    taken = [socket.create_server(('127.0.0.1', 0)) for _ in range(count)]
    ports = [one.getsockname()[1] for one in taken]
    for one in taken:
        one.close()
    return ports


class Instance:
    """One process, with its settings file and what it printed."""

    def __init__(self, folder, name, store_address, seeds=''):
        self.ports = dict(zip(PORTS, free_ports(len(PORTS)), strict=True))
        self.path = folder / f'{name}.conf'
        lines = [
            f'node_name={name}',
            'zone=z1',
            'region=r',
            'zones.z1=r',
            'bounds=grace_s=3,ttl_max_s=5,retry_budget_ratio=0.2',
            f'provider.address={store_address}',
            f'seeds={seeds or self.address("control")}',
            # An address of its own: the port of the figures is the same one.
            f'ip=127.77.0.{name[-1]}',
            *(f'listen.{one}={self.address(one)}' for one in PORTS),
        ]
        self.path.write_text('\n'.join(lines))
        self.process = None

    def address(self, name):
        return f'127.0.0.1:{self.ports[name]}'

    async def start(self):
        folders = [str(one) for one in LIBRARIES.glob('*/src')]
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / 'platform' / 'start.py'),
            env={
                **os.environ,
                'SARDINEPIER_BOOT': str(self.path),
                'PYTHONPATH': os.pathsep.join(folders),
            },
            stdout=asyncio.subprocess.PIPE,
        )

    async def get(self, listener, path):
        reader, writer = await asyncio.open_connection(
            '127.0.0.1',
            self.ports[listener],
        )
        writer.write(f'GET {path} HTTP/1.1\r\nHost: a.example\r\n\r\n'.encode())
        answer = await targets.read_answer(reader)
        writer.close()
        return answer

    async def until_ready(self, status=200):
        """Wait until readiness is answered by ``status``."""
        await self.until('ready', '/api/readiness', status)

    async def until(self, listener, path, status):
        async with asyncio.timeout(targets.PATIENCE_S):
            while True:
                with contextlib.suppress(OSError):
                    if (await self.get(listener, path))[0] == status:
                        return
                await asyncio.sleep(0.05)

    async def ask(self, path, name):
        reader, writer = await asyncio.open_connection(
            '127.0.0.1',
            self.ports['front'],
        )
        writer.write(
            f'GET {path} HTTP/1.1\r\nHost: a.example\r\n'
            f'X-Sardinepier-Attempt-Id: {name}\r\n'
            'X-Sardinepier-Request-Deadline: 4000\r\n\r\n'.encode(),
        )
        return reader, writer


@pytest.fixture
async def worker(monkeypatch):
    names = targets.dialect.HeaderNames(
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
    first = Instance(tmp_path, 'edge-1', standin.address)
    second = Instance(
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
        '127.77.0.1',
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
    await targets.until(lambda: len(worker.seen) == 2)
    first.process.send_signal(signal.SIGTERM)
    await first.until_ready(503)
    worker.gate.set()
    status, headers, body = await targets.read_answer(reader)
    assert (status, body) == (200, targets.BODY)
    assert headers['Connection'] == 'close'
    writer.close()
    async with asyncio.timeout(targets.PATIENCE_S):
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
    lost = Instance(tmp_path, 'edge-1', standin.address)
    lost.path.unlink()
    await lost.start()
    printed, _ = await lost.process.communicate()
    lines = [json.loads(line) for line in printed.splitlines()]
    assert lost.process.returncode == 1
    assert lines[-1]['event'] == 'daemon-failed'
    assert 'cannot be read' in lines[-1]['message']
