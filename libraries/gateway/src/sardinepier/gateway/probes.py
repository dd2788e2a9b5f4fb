"""Health probes of targets; health treats their results as hints only."""

import asyncio
from typing import Final

import yarl
from aiohttp import client_exceptions, client_reqrep

from sardinepier.core import ids
from sardinepier.gateway import context as contexts
from sardinepier.gateway import errors, request_body, service_runtime

_INTERVAL_S: Final = 0.1
_TIMEOUT_S: Final = 2.0
_MAX_CONCURRENT: Final = 16
_MS_PER_S: Final = 1000
_FIRST_BAD_STATUS: Final = 400
_MAX_ANSWER_BYTES: Final = 1_048_576


class Probes:
    """Sends the probes that the health checks of each service request."""

    def __init__(self, context: contexts.GatewayContext) -> None:
        """Use the collaborators in ``context``."""
        self._context = context
        self._free_probes = asyncio.Semaphore(_MAX_CONCURRENT)

    async def run(self) -> None:
        """Send due probes until cancelled."""
        async with asyncio.TaskGroup() as running:
            while True:
                self.start_due(running)
                await asyncio.sleep(_INTERVAL_S)

    def start_due(self, running: asyncio.TaskGroup) -> None:
        """Start the probes that are due now as tasks in ``running``."""
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
        async with self._free_probes:
            started_s = self._context.clock.monotonic_s()
            is_good = await self._is_good(runtime, target_id)
            duration_s = self._context.clock.monotonic_s() - started_s
        runtime.health.probed(target_id, is_good, duration_s * _MS_PER_S)

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
                    request_body.EMPTY,
                    fresh=False,
                    connect_timeout_s=snapshot.connect_timeout_s,
                    permit=_allow,
                )
                is_short = await _is_read(response)
        except (errors.GatewayError, client_exceptions.ClientError, OSError):
            return False
        if snapshot.settings.draining_header in response.headers:
            runtime.mark_leaving(target_id)
        return is_short and response.status < _FIRST_BAD_STATUS


async def _is_read(response: client_reqrep.ClientResponse) -> bool:
    """Read an answer; return whether it ends, and close it if it does not."""
    length = 0
    while chunk := await response.content.readany():
        length += len(chunk)
        if length > _MAX_ANSWER_BYTES:
            response.close()
            return False
    return True


def _allow() -> None:
    """Always permit the request: a probe changes nothing on the target."""
