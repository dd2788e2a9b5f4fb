"""The fleet that ``scripts/capacity.sh`` has started, as it is measured."""

import asyncio
import pathlib
from typing import Final

import aiohttp
import msgspec

from sardinepier.telemetry import status, timeline
from sardinepier.workbench.capacity import proc
from sardinepier.workbench.faults import processes

_TIMEOUT: Final = aiohttp.ClientTimeout(total=10)
_AT_ONCE: Final = 8


class MeasuredFleet:
    """Reads all daemons' pages and their figures in the system."""

    def __init__(
        self,
        directory: pathlib.Path,
        session: aiohttp.ClientSession,
    ) -> None:
        """Use the fleet that keeps its files in ``directory``."""
        self.processes = processes.Processes(directory)
        self._session = session
        self._room = asyncio.Semaphore(_AT_ONCE)

    @property
    def daemons(self) -> tuple[str, ...]:
        """The names of all daemons."""
        return self.processes.daemons

    def pid(self, name: str) -> int:
        """Return the process id that the script has recorded."""
        return int((self.processes.directory / 'pid' / name).read_text())

    def reading(self, name: str) -> proc.Reading:
        """Return what the system says about a process of the fleet."""
        return proc.read(self.pid(name))

    async def read_status(self, name: str) -> status.DaemonStatus:
        """Return the status document of one daemon."""
        return status.decode(await self._get(name, '/v1/status'))

    async def read_statuses(self) -> dict[str, status.DaemonStatus]:
        """Return the status documents of all daemons."""
        found = await asyncio.gather(*map(self.read_status, self.daemons))
        return dict(zip(self.daemons, found, strict=True))

    async def read_timeline(self, name: str) -> timeline.TimelineDocument:
        """Return the events of one daemon."""
        return timeline.decode(await self._get(name, '/v1/timeline'))

    async def count_platform_calls(self) -> int:
        """Return how many calls the platform has had."""
        text = await self._get('platform', '/control/counts')
        return sum(msgspec.json.decode(text, type=dict[str, int]).values())

    async def set_platform(self, mode: str) -> None:
        """Change how the platform answers."""
        url = f'{self.processes.endpoint("platform").url}/control/mode'
        body = msgspec.json.encode({'mode': mode})
        async with self._session.post(url, data=body) as reply:
            reply.raise_for_status()

    async def _get(self, name: str, path: str) -> bytes:
        url = f'{self.processes.endpoint(name).url}{path}'
        async with self._room, self._session.get(url, timeout=_TIMEOUT) as got:
            got.raise_for_status()
            return await got.read()
