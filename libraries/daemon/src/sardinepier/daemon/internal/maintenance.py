"""The periodic tasks of a daemon."""

import asyncio
import dataclasses
import gc
from typing import Final

from sardinepier.daemon.internal import exchange_assembly
from sardinepier.gateway import context as contexts
from sardinepier.gateway import probes

_TICK_S: Final = 0.1
_EXPIRY_INTERVAL_S: Final = 5.0
_STARTUP_S: Final = 30.0
_GC_THRESHOLDS: Final = (5000, 10, 100)


@dataclasses.dataclass(frozen=True, slots=True)
class MaintenanceLoop:
    """Evaluates targets, reports to the groups, probes, and detects pauses.

    One loop does all of it, since each further timer would wake an idle daemon
    more often, and wake-ups were most of the processor time of the control
    work. Reports also follow the evaluation at once, so their evidence is
    current.
    """

    context: contexts.GatewayContext
    exchange: exchange_assembly.Exchange
    probes: probes.Probes

    async def run(self) -> None:
        """Run until cancelled."""
        async with asyncio.TaskGroup() as task_group:
            while True:
                # Detects a pause of the process first, so that no target is
                # evaluated by data that became stale during the pause.
                await self.context.wake_guard.tick()
                self.context.services.tick()
                self.exchange.tick()
                self.probes.start_due(task_group)
                await asyncio.sleep(_TICK_S)


async def expire_records(context: contexts.GatewayContext) -> None:
    """Drop the records whose tickets have expired, until cancelled."""
    while True:
        context.ledger.expire()
        await asyncio.sleep(_EXPIRY_INTERVAL_S)


async def tune_garbage_collection() -> None:
    """Exclude the objects of a started daemon from garbage collection.

    With the files of 340 services a full collection took 96 to 164 ms, during
    which no request proceeds. Objects that exist by then mostly live on;
    the others are still freed by their reference counts. The higher
    thresholds, in addition, cut the longest pause of 17,600 requests from 30
    to 11 ms; with still higher ones the pauses grow again.
    """
    await asyncio.sleep(_STARTUP_S)
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)
