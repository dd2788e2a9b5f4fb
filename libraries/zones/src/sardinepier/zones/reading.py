"""Reading the platform for a zone: by few daemons, at a bounded pace.

The first carrier reads the target list, the first two watch the
configuration, and the others hear from them. Whoever has heard nothing
confirmed for too long reads for itself, the sooner the better its place
among the carriers.
"""

import asyncio
import random
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.entry import published, services
from sardinepier.platform import errors
from sardinepier.telemetry import logs
from sardinepier.zones import carriers, lapses, sharing

_LIST_INTERVAL_S: Final = 0.9
"""Pace of list readings. A target that leaves has to be known everywhere
within two seconds, and each reading is paid for."""

_WATCH_S: Final = 5.0
"""How long one watch waits. Also the longest that a watch which fell silent
goes unnoticed."""

_LATE_S: Final = 1.3
"""A list confirmed so long ago means that its reader is in trouble."""

_STEP_S: Final = 0.5
"""How much longer each further daemon waits before it reads for itself."""

_IDLE_S: Final = 0.1
_FAILED_S: Final = 0.4
_WATCHERS: Final = 2


class PlatformReading:
    """Reads the platform while this daemon has to."""

    def __init__(
        self,
        source: published.PublishedState,
        held: services.Services,
        chosen: carriers.Carriers,
        guard: lapses.LapseGuard,
        shared: sharing.ZoneSharing,
        clock: clocks.Clock,
        random_source: random.Random,
    ) -> None:
        """Read from ``source``; nothing is read yet."""
        self._source = source
        self._held = held
        self._carriers = chosen
        self._guard = guard
        self._shared = shared
        self._clock = clock
        self._random = random_source
        self._revision = 0
        self._is_lost = False

    async def run(self) -> None:
        """Read until cancelled."""
        await self._first()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_targets())
            group.create_task(self._follow_configuration())

    async def _first(self) -> None:
        """Read what there is right after the start, old or not."""
        try:
            await self._read_configuration(allow_stale=True)
            targets = await self._source.read_targets(allow_stale=True)
        except errors.PlatformError as error:
            self._lost(error)
            return
        if self._held.targets is None:
            self._shared.take_targets(targets)

    async def _follow_targets(self) -> None:
        while True:
            if not self._is_due():
                await asyncio.sleep(_IDLE_S)
                continue
            started_s = self._clock.monotonic_s()
            interval_s = _LIST_INTERVAL_S
            try:
                targets = await self._source.read_targets(allow_stale=False)
            except errors.PlatformError as error:
                self._lost(error)
                interval_s = _FAILED_S
            else:
                self._regained()
                self._shared.take_targets(targets)
            taken_s = self._clock.monotonic_s() - started_s
            await asyncio.sleep(max(0.0, interval_s - taken_s))

    def _is_due(self) -> bool:
        """Tell whether this daemon has to read the target list now."""
        rank = self._carriers.own_rank()
        if rank == 0:
            return True
        age_s = self._guard.age_s()
        if age_s is None:
            return False
        spread = self._random.random()
        return age_s > _LATE_S + _STEP_S * (rank + spread)

    async def _follow_configuration(self) -> None:
        while True:
            if self._carriers.own_rank() >= _WATCHERS:
                await asyncio.sleep(_IDLE_S)
                if self._held.configuration is None:
                    await self._retry_first()
                continue
            try:
                await self._watch()
            except errors.PlatformError as error:
                self._lost(error)
                await asyncio.sleep(_FAILED_S)

    async def _retry_first(self) -> None:
        """Ask again for the first configuration, now and then."""
        await asyncio.sleep(1 + self._random.random())
        if self._held.configuration is None:
            await self._first()

    async def _watch(self) -> None:
        if not self._revision or self._held.configuration is None:
            await self._read_configuration(allow_stale=False)
            if self._held.configuration is None:
                await asyncio.sleep(_FAILED_S)
                return
        try:
            reading = await self._source.watch_configuration(
                self._revision,
                _WATCH_S,
            )
        except errors.PlatformHistoryLostError:
            self._revision = 0
            return
        self._take(reading)

    async def _read_configuration(self, *, allow_stale: bool) -> None:
        reading = await self._source.read_configuration(
            allow_stale=allow_stale,
        )
        self._take(reading)

    def _take(self, reading: published.ConfigurationReading) -> None:
        self._revision = max(self._revision, reading.revision)
        if reading.configuration is not None:
            self._shared.take_configuration(reading.configuration)

    def _lost(self, error: errors.PlatformError) -> None:
        if not self._is_lost:
            self._is_lost = True
            logs.failure('platform-lost', error)

    def _regained(self) -> None:
        if self._is_lost:
            self._is_lost = False
            logs.event('platform-regained')
