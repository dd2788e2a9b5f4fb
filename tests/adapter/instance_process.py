"""The program that the platform starts, as a process of its own."""

import asyncio
import contextlib
import os
import pathlib
import socket
import sys

import entry_support as targets

ROOT = pathlib.Path(__file__).parents[2]
LIBRARIES = ROOT / 'libraries'
PORTS = ('front', 'ready', 'control', 'directory')


def free_ports(ip, count):
    taken = [socket.create_server((ip, 0)) for _ in range(count)]
    ports = [one.getsockname()[1] for one in taken]
    for one in taken:
        one.close()
    return ports


class Instance:
    """One process, with its settings file and what it printed."""

    def __init__(self, folder, name, store_address, seeds=''):
        # The port of the figures is the same one everywhere, and a port that
        # was let go may be taken for somebody's outgoing connection, so that
        # each instance of each run of the tests has an address of its own.
        high, low = divmod(os.getpid(), 250)
        self.ip = f'127.{1 + high % 250}.{low}.{name[-1]}'
        free = free_ports(self.ip, len(PORTS))
        self.ports = dict(zip(PORTS, free, strict=True))
        self.path = folder / f'{name}.conf'
        lines = [
            f'node_name={name}',
            'zone=z1',
            'region=r',
            'zones.z1=r',
            'bounds=grace_s=3,ttl_max_s=5,retry_budget_ratio=0.2',
            f'provider.address={store_address}',
            f'seeds={seeds or self.address("control")}',
            f'ip={self.ip}',
            *(f'listen.{one}={self.address(one)}' for one in PORTS),
        ]
        self.path.write_text('\n'.join(lines))
        self.process = None

    def address(self, name):
        return f'{self.ip}:{self.ports[name]}'

    async def start(self, stdout=asyncio.subprocess.PIPE):
        folders = [str(one) for one in LIBRARIES.glob('*/src')]
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / 'platform' / 'start.py'),
            env={
                **os.environ,
                'SARDINEPIER_BOOT': str(self.path),
                'PYTHONPATH': os.pathsep.join(folders),
            },
            stdout=stdout,
        )

    async def get(self, listener, path):
        reader, writer = await asyncio.open_connection(
            self.ip,
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
        try:
            await self._until(listener, path, status)
        except TimeoutError:
            # What is needed to find the cause of one that never got there.
            sys.stdout.write(await self._last_words())
            raise

    async def ask(self, path, name):
        reader, writer = await asyncio.open_connection(
            self.ip,
            self.ports['front'],
        )
        writer.write(
            f'GET {path} HTTP/1.1\r\nHost: a.example\r\n'
            f'X-Sardinepier-Attempt-Id: {name}\r\n'
            'X-Sardinepier-Request-Deadline: 4000\r\n\r\n'.encode(),
        )
        return reader, writer

    async def _last_words(self):
        """Return how the process ended, if it did, and what it printed."""
        if self.process.returncode is None:
            self.process.kill()
        printed, _ = await self.process.communicate()
        return f'{self.ports} {self.process.returncode} {printed[-4000:]}'

    async def _until(self, listener, path, status):
        async with asyncio.timeout(targets.TIMEOUT_S):
            while True:
                with contextlib.suppress(OSError):
                    if (await self.get(listener, path))[0] == status:
                        return
                await asyncio.sleep(0.05)
