"""Reads a watcher's share of the platform's instance list.

A leaving target must get no new requests 3 s after the platform first lists
it so. A share is read again at most 1.5 times ``instances_s`` after the last
read, and the watcher then sends the list to the daemons concerned directly.
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

_EMPTY_LIST: Final = interface.InstanceList(
    share=shares.InstanceShare(chosen=(), has_daemons=False),
)


class InstancePoller:
    """Publishes the platform's lists: a share of the targets, all daemons."""

    def __init__(
        self,
        platform: interface.Platform,
        current_watchers: watchers.Watchers,
        clock: clocks.Clock,
        random_source: random.Random,
        limits: options.DistributorOptions,
        on_event: store_writer.OnEvent,
    ) -> None:
        """Send no request yet; report failures to ``on_event``."""
        self._platform = platform
        self._watchers = current_watchers
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
        self._next_daemons_s = float('-inf')

    def subscribe(self, callback: OnInstances) -> None:
        """Call ``callback`` with each new list."""
        self._callbacks.append(callback)

    async def poll(self) -> None:
        """Read the own share about every ``instances_s``, until cancelled.

        The first read waits too: a daemon that has just started may not know
        the other watchers yet, and would read the whole list.
        """
        poll_backoff = backoff.Backoff(
            self._limits.instances_s,
            self._limits.backoff_max_s,
            self._random,
        )
        while True:
            await asyncio.sleep(poll_backoff.next_wait_s())
            share = self._watchers.share()
            if share is None or await self._read(share):
                poll_backoff.reset()

    async def read_daemons(self) -> None:
        """Read the list of daemons now."""
        listed = await self._list_instances(shares.DAEMONS)
        if listed is not None and listed is not self._daemons:
            self._daemons = listed
            self._notify_subscribers()

    async def _read(self, share: shares.InstanceShare) -> bool:
        """Read a share, and the daemons when they are due.

        Returns whether the platform answered for the share.
        """
        listed = await self._list_instances(share)
        if listed is None:
            return False
        if listed is not self._targets:
            self._targets = listed
            self._daemons = listed if share.has_daemons else self._daemons
            self._notify_subscribers()
        now_s = self._clock.monotonic_s()
        if now_s >= self._next_daemons_s and not share.has_daemons:
            self._next_daemons_s = now_s + self._limits.daemons_s
            await self.read_daemons()
        return True

    async def _list_instances(
        self,
        share: shares.InstanceShare,
    ) -> interface.InstanceList | None:
        try:
            listed = await self._platform.list_instances(share)
        except errors.PlatformError as error:
            self._health.record_failure(error)
            return None
        self._health.record_success()
        return listed

    def _notify_subscribers(self) -> None:
        """Call the subscribers with the newest share and all known daemons."""
        targets = self._targets or _EMPTY_LIST
        daemons = self._daemons or _EMPTY_LIST
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
