"""Waits for the first valid fleet file."""

import asyncio
from typing import Final

from sardinepier.configuration import store as stores
from sardinepier.settings import model
from sardinepier.telemetry import logs

_LOG_INTERVAL_S: Final = 5.0


async def wait_for(
    store: stores.Store,
    stop: asyncio.Event,
) -> model.Configuration | None:
    """Return the first configuration, or None if stopped before it arrives.

    Nothing can be served without it, as even the name of the header that
    identifies callers is unknown. A log line reports the wait regularly.
    """
    arrived = asyncio.Event()
    store.on_change(lambda _: arrived.set())
    waiting_tasks = [
        asyncio.ensure_future(arrived.wait()),
        asyncio.ensure_future(stop.wait()),
    ]
    while not any(waiting_task.done() for waiting_task in waiting_tasks):
        await asyncio.wait(
            waiting_tasks,
            timeout=_LOG_INTERVAL_S,
            return_when=asyncio.FIRST_COMPLETED,
        )
        _log_wait(store)
    for waiting_task in waiting_tasks:
        waiting_task.cancel()
    return None if stop.is_set() else store.current


def _log_wait(store: stores.Store) -> None:
    if store.current is None:
        logs.event(
            'waiting-for-configuration',
            'No valid fleet file from the platform or a peer yet',
            level=logs.Level.WARNING,
        )
