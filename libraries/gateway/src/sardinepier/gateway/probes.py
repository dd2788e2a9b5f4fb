"""Asking targets for their health, which hints at more than it proves."""

import asyncio
from typing import Final

import yarl
from aiohttp import client_exceptions

from sardinepier.core import ids
from sardinepier.gateway import context as contexts
from sardinepier.gateway import errors, service_runtime

_INTERVAL_S: Final = 0.1
_TIMEOUT_S: Final = 2.0
_MOST_AT_ONCE: Final = 16
_MS_PER_S: Final = 1000
_FIRST_BAD_STATUS: Final = 400


class Probes:
    """Sends the probes that each service's health asks for."""

    def __init__(self, context: contexts.GatewayContext) -> None:
        """Work with the daemon's collaborators."""
        self._context = context
        self._room = asyncio.Semaphore(_MOST_AT_ONCE)

    async def run(self) -> None:
        """Probe until cancelled."""
        async with asyncio.TaskGroup() as running:
            while True:
                self.start_due(running)
                await asyncio.sleep(_INTERVAL_S)

    def start_due(self, running: asyncio.TaskGroup) -> None:
        """Start the probes that are due now as tasks of ``running``."""
        for runtime in self._context.services:
            for target_id in runtime.health.due_probes():
                running.create_task(self._probe(runtime, target_id))

    async def _probe(
        self,
        runtime: service_runtime.ServiceRuntime,
        target_id: ids.TargetId,
    ) -> None:
        if target_id not in runtime.snapshot.targets:
            return
        async with self._room:
            started_s = self._context.clock.monotonic_s()
            is_good = await self._is_good(runtime, target_id)
            taken_s = self._context.clock.monotonic_s() - started_s
        runtime.health.probed(target_id, is_good, taken_s * _MS_PER_S)

    async def _is_good(
        self,
        runtime: service_runtime.ServiceRuntime,
        target_id: ids.TargetId,
    ) -> bool:
        snapshot = runtime.snapshot
        url = snapshot.origin(target_id) + snapshot.settings.health_path
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                response = await self._context.client.open(
                    'GET',
                    yarl.URL(url, encoded=True),
                    [],
                    b'',
                    fresh=False,
                    connect_timeout_s=snapshot.connect_timeout_s,
                    permit=_allow,
                )
                await response.read()
        except (errors.GatewayError, client_exceptions.ClientError, OSError):
            return False
        if snapshot.settings.draining_header in response.headers:
            runtime.mark_leaving(target_id)
        return response.status < _FIRST_BAD_STATUS


def _allow() -> None:
    """Allow the probe: it changes nothing, whatever came between."""
