"""Waiting for the first valid fleet file."""

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
    """Return the first configuration, or None when stopped before.

    Nothing can be served without one: not even which header names the caller
    is known. A log line says so now and then meanwhile.
    """
    arrived = asyncio.Event()
    store.on_change(lambda _: arrived.set())
    waits = [
        asyncio.ensure_future(arrived.wait()),
        asyncio.ensure_future(stop.wait()),
    ]
    while not any(wait.done() for wait in waits):
        await asyncio.wait(
            waits,
            timeout=_LOG_INTERVAL_S,
            return_when=asyncio.FIRST_COMPLETED,
        )
        _log_wait(store)
    for wait in waits:
        wait.cancel()
    return None if stop.is_set() else store.current


def _log_wait(store: stores.Store) -> None:
    if store.current is None:
        logs.event(
            'waiting-for-configuration',
            'No valid fleet file from the platform or a peer yet',
            level=logs.Level.WARNING,
        )
