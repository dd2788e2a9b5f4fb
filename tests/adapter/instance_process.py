"""An entry daemon as a separate process, started as the platform does."""

import asyncio
import contextlib
import os
import pathlib
import re
import signal
import socket
import sys

import entry_support as support

ROOT = pathlib.Path(__file__).parents[2]
LIBRARIES = ROOT / 'libraries'
LISTENERS = ('front', 'ready', 'control', 'directory')


def free_ports(ip, count):
    servers = [socket.create_server((ip, 0)) for _ in range(count)]
    ports = [server.getsockname()[1] for server in servers]
    for server in servers:
        server.close()
    return ports


class Instance:
    """One daemon process with its settings file."""

    def __init__(
        self,
        folder,
        name,
        store_address,
        seeds='',
        grace_s=3,
        zone='z1',
        zones=('z1',),
    ):
        # Each instance of each test run has its own address: all use the same
        # metrics port, and on a shared address an outgoing connection could
        # take a port between its release and its use.
        high, low = divmod(os.getpid(), 250)
        self.ip = f'127.{1 + high % 250}.{low}.{name[-1]}'
        relay_port, *free = free_ports(self.ip, 1 + len(LISTENERS))
        self.ports = dict(zip(LISTENERS, free, strict=True))
        self.path = folder / f'{name}.conf'
        lines = [
            f'node_name={name}',
            f'zone={zone}',
            'region=r',
            *(f'zones.{name_of_zone}=r' for name_of_zone in zones),
            f'bounds=grace_s={grace_s},ttl_max_s=5,retry_budget_ratio=0.2',
            f'provider.address={store_address}',
            f'seeds={seeds or self.address("control")}',
            f'ip={self.ip}',
            f'port_range={relay_port},{relay_port}',
            *(
                f'listen.{listener}={self.address(listener)}'
                for listener in LISTENERS
            ),
        ]
        self.path.write_text('\n'.join(lines))
        self.process = None

    def address(self, listener):
        return f'{self.ip}:{self.ports[listener]}'

    async def start(self, stdout=asyncio.subprocess.PIPE):
        sources = [str(path) for path in LIBRARIES.glob('*/src')]
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / 'platform' / 'start.py'),
            env={
                **os.environ,
                'SARDINEPIER_BOOT': str(self.path),
                'PYTHONPATH': os.pathsep.join(sources),
            },
            stdout=stdout,
        )

    def handles_sighup(self):
        """Return whether SIGHUP has no longer its default action.

        A process that has ended is gone before its exit code is known here.
        """
        try:
            status = self._proc_text('status')
        except (FileNotFoundError, ProcessLookupError):
            return False
        masks = re.findall(r'^Sig(?:Ign|Cgt):\s*(\w+)$', status, re.MULTILINE)
        return any(int(mask, 16) & 1 << signal.SIGHUP - 1 for mask in masks)

    def processor_ticks(self):
        """Return the processor time that the process has used."""
        fields = self._proc_text('stat').rpartition(')')[-1].split()
        return int(fields[11]) + int(fields[12])

    async def get(self, listener, path):
        reader, writer = await asyncio.open_connection(
            self.ip,
            self.ports[listener],
        )
        writer.write(f'GET {path} HTTP/1.1\r\nHost: a.example\r\n\r\n'.encode())
        answer = await support.read_answer(reader)
        writer.close()
        return answer

    async def until_ready(self, status=200):
        """Wait until the readiness endpoint answers with ``status``."""
        await self.wait_for_status('ready', '/api/readiness', status)

    async def wait_for_status(self, listener, path, status):
        try:
            await self._poll_status(listener, path, status)
        except TimeoutError:
            # Shows why the instance never answered with this status.
            sys.stdout.write(await self._process_report())
            raise

    async def send_request(self, path, attempt_id):
        reader, writer = await asyncio.open_connection(
            self.ip,
            self.ports['front'],
        )
        writer.write(
            f'GET {path} HTTP/1.1\r\nHost: a.example\r\n'
            f'X-Sardinepier-Attempt-Id: {attempt_id}\r\n'
            'X-Sardinepier-Request-Deadline: 4000\r\n\r\n'.encode(),
        )
        return reader, writer

    def _proc_text(self, name):
        return pathlib.Path(f'/proc/{self.process.pid}/{name}').read_text()

    async def _process_report(self):
        """Return the ports, the exit code, if any, and the newest output."""
        if self.process.returncode is None:
            self.process.kill()
        printed, _ = await self.process.communicate()
        return f'{self.ports} {self.process.returncode} {printed[-4000:]}'

    async def _poll_status(self, listener, path, status):
        async with asyncio.timeout(support.TIMEOUT_S):
            while True:
                with contextlib.suppress(OSError):
                    if (await self.get(listener, path))[0] == status:
                        return
                await asyncio.sleep(0.05)
