"""Reads a share of the platform's instance list while being a watcher.

A target that leaves must get no new work 3 s after the first sign of it. A
share is read anew at most one and a half times ``instances_s`` after the last
read, and the list reaches the daemons concerned in one step from there.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Final

from sardinepier.configuration import options
from sardinepier.configuration.internal import (
    backoff,
    platform_health,
    store_writer,
    watchers,
)
from sardinepier.core import clock as clocks
from sardinepier.platform import errors, interface, shares

OnInstances = Callable[[interface.InstanceList], None]

_NOTHING: Final = interface.InstanceList(
    share=shares.InstanceShare(chosen=(), has_daemons=False),
)


class InstancePoller:
    """Hands on what the platform lists: a share of the targets, all daemons."""

    def __init__(
        self,
        platform: interface.Platform,
        chosen: watchers.Watchers,
        clock: clocks.Clock,
        random_source: random.Random,
        limits: options.DistributorOptions,
        on_event: store_writer.OnEvent,
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
        self._clock = clock
        self._targets: interface.InstanceList | None = None
        self._daemons: interface.InstanceList | None = None
        self._daemons_due_s = float('-inf')

    def subscribe(self, callback: OnInstances) -> None:
        """Hand each new list to ``callback`` as well."""
        self._callbacks.append(callback)

    async def poll(self) -> None:
        """Read the own share about every ``instances_s``, until cancelled.

        The first read waits as well: a daemon that has just started may not
        know yet that others watch, and would read the whole list.
        """
        waits = backoff.Backoff(
            self._limits.instances_s,
            self._limits.backoff_max_s,
            self._random,
        )
        while True:
            await asyncio.sleep(waits.failed())
            share = self._watchers.share()
            if share is None or await self._read(share):
                waits.succeeded()

    async def read_daemons(self) -> None:
        """Read the list of daemons now."""
        listed = await self._ask(shares.DAEMONS)
        if listed is not None and listed is not self._daemons:
            self._daemons = listed
            self._hand_on()

    async def _read(self, share: shares.InstanceShare) -> bool:
        """Read a share, and the daemons when their time has come.

        Returns whether the platform answered for the share.
        """
        listed = await self._ask(share)
        if listed is None:
            return False
        if listed is not self._targets:
            self._targets = listed
            self._daemons = listed if share.has_daemons else self._daemons
            self._hand_on()
        now_s = self._clock.monotonic_s()
        if now_s >= self._daemons_due_s and not share.has_daemons:
            self._daemons_due_s = now_s + self._limits.daemons_s
            await self.read_daemons()
        return True

    async def _ask(
        self,
        share: shares.InstanceShare,
    ) -> interface.InstanceList | None:
        try:
            listed = await self._platform.list_instances(share)
        except errors.PlatformError as error:
            self._health.failed(error)
            return None
        self._health.succeeded()
        return listed

    def _hand_on(self) -> None:
        """Give the subscribers the newest share with all known daemons."""
        targets = self._targets or _NOTHING
        daemons = self._daemons or _NOTHING
        listed = interface.InstanceList(
            targets=targets.targets,
            daemons=daemons.daemons,
            share=shares.share_of(
                targets.share.parts,
                targets.share.chosen,
                has_daemons=daemons.share.has_daemons,
            ),
        )
        for callback in self._callbacks:
            callback(listed)
