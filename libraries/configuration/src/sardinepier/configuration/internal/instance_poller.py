"""Reads the platform's instance list while this daemon is a watcher."""

import asyncio
import random
from collections.abc import Callable

from sardinepier.configuration import options
from sardinepier.configuration.internal import (
    backoff,
    intake,
    platform_health,
    watchers,
)
from sardinepier.core import clock as clocks
from sardinepier.platform import errors, interface

OnInstances = Callable[[interface.InstanceList], None]


class InstancePoller:
    """Hands each new instance list to its subscribers."""

    def __init__(
        self,
        platform: interface.Platform,
        chosen: watchers.Watchers,
        clock: clocks.Clock,
        random_source: random.Random,
        limits: options.DistributorOptions,
        on_event: intake.OnEvent,
    ) -> None:
        """Call nothing yet; report failures to ``on_event``."""
        self._platform = platform
        self._watchers = chosen
        self._random = random_source
        self._limits = limits
        self._callbacks: list[OnInstances] = []
        self._health = platform_health.PlatformHealth(
            'platform instance list',
            clock,
            on_event,
        )
        self._last: interface.InstanceList | None = None

    def subscribe(self, callback: OnInstances) -> None:
        """Hand each new list to ``callback`` as well."""
        self._callbacks.append(callback)

    async def poll(self) -> None:
        """Read the list about every ``instances_s``, until cancelled."""
        waits = backoff.Backoff(
            self._limits.instances_s,
            self._limits.backoff_most_s,
            self._random,
        )
        while True:
            if not self._watchers.is_own or await self.read_once():
                waits.succeeded()
            await asyncio.sleep(waits.failed())

    async def read_once(self) -> bool:
        """Read the list now; return whether the platform answered."""
        try:
            instances = await self._platform.list_instances()
        except errors.PlatformError as error:
            self._health.failed(error)
            return False
        self._health.succeeded()
        if instances is not self._last:
            self._last = instances
            for callback in self._callbacks:
                callback(instances)
        return True
