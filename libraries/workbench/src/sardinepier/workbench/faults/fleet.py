"""A small fleet of real processes, and control over its faults."""

import re
from typing import Final

import aiohttp
import msgspec

from sardinepier.core import errors
from sardinepier.standins import target_faults
from sardinepier.telemetry import status
from sardinepier.workbench.faults import links, processes

SERVICE: Final = 'deposits'

_TIMEOUT: Final = aiohttp.ClientTimeout(total=2)
_QUEUE_LINE: Final = re.compile(r'^queue_length = \d+$', re.MULTILINE)


class ControlRefusedError(errors.SardinepierError):
    """A stand-in or the relay refused a control request."""


class _PlatformMode(msgspec.Struct, frozen=True):
    mode: str


class Fleet:
    """The processes of one fleet and their control endpoints."""

    def __init__(
        self,
        running_processes: processes.Processes,
        session: aiohttp.ClientSession,
    ) -> None:
        """Use processes that are already running."""
        self.processes = running_processes
        self._session = session

    async def set_fault(self, name: str, fault: target_faults.Fault) -> None:
        """Set the fault of a target."""
        await self._post(name, '/control/fault', msgspec.json.encode(fault))

    async def drain(self, name: str) -> None:
        """Start draining a target."""
        await self._post(name, '/control/drain', b'')

    async def set_link(self, rule: links.LinkRule) -> None:
        """Set a rule of the relay."""
        await self._post('relay', '/control/link', msgspec.json.encode(rule))

    async def count_cuts(self) -> int:
        """Return the number of connections on which the relay dropped bytes."""
        url = f'{self.processes.endpoint("relay").url}/control/cuts'
        async with self._session.get(url, timeout=_TIMEOUT) as reply:
            raw = await reply.read()
        return msgspec.json.decode(raw, type=links.CutCount).connections

    async def set_platform(self, mode: str) -> None:
        """Change how the platform answers: up, down, hang, stale, garbage."""
        body = msgspec.json.encode(_PlatformMode(mode))
        await self._post('platform', '/control/mode', body)

    def publish_queue_length(self, queue_length: int) -> None:
        """Publish the service's file again with another queue length."""
        services = self.processes.directory / 'platform' / 'services'
        path = services / f'{SERVICE}.ini'
        text = _QUEUE_LINE.sub(
            f'queue_length = {queue_length}',
            path.read_text(),
        )
        draft = services / f'.{SERVICE}'
        draft.write_text(text)
        draft.replace(path)

    async def read_revision(self, daemon: str) -> int | None:
        """Return the revision of the service's file in force on ``daemon``.

        None when the daemon does not answer, or has no such file.
        """
        url = f'{self.processes.endpoint(daemon).url}/v1/status'
        try:
            async with self._session.get(url, timeout=_TIMEOUT) as reply:
                document = status.decode(await reply.read())
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError):
            return None
        revisions = [
            file.revision
            for file in document.files
            if file.name == f'service/{SERVICE}'
        ]
        return revisions[0] if revisions else None

    async def _post(self, name: str, path: str, body: bytes) -> None:
        url = f'{self.processes.endpoint(name).url}{path}'
        async with self._session.post(
            url,
            data=body,
            timeout=_TIMEOUT,
        ) as reply:
            if not reply.ok:
                raise ControlRefusedError(
                    f'{url} answered {reply.status}: {await reply.text()}',
                    'Compare the request with what this stand-in accepts',
                )
