"""Reading the platform for a zone: by one daemon, at a bounded pace.

The first carrier reads and the others hear from it. Whoever has heard
nothing confirmed for too long reads for itself, the sooner the better its
place among the carriers.
"""

import asyncio
import random
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.entry import published, services
from sardinepier.platform import errors
from sardinepier.telemetry import logs
from sardinepier.zones import carriers, lapses, sharing

_INTERVAL_S: Final = 0.9
"""Pace of readings. A target that leaves and a new configuration have to be
known everywhere within two seconds, and each reading is paid for."""

_LATE_S: Final = 1.3
"""A list confirmed so long ago means that its reader is in trouble."""

_STEP_S: Final = 0.5
"""How much longer each further daemon waits before it reads for itself."""

_IDLE_S: Final = 0.1
_FAILED_S: Final = 0.2
_FIRST_AGAIN_S: Final = 1.0


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
        self._is_lost = False
        self._first_due_s = clock.monotonic_s()

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            started_s = self._clock.monotonic_s()
            if self._lacks_first():
                await self._read(allow_stale=True)
                wait_s = _IDLE_S
            elif self._is_due():
                is_read = await self._read(allow_stale=False)
                wait_s = _INTERVAL_S if is_read else _FAILED_S
            else:
                wait_s = _IDLE_S
            taken_s = self._clock.monotonic_s() - started_s
            await asyncio.sleep(max(_IDLE_S, wait_s - taken_s))

    def _lacks_first(self) -> bool:
        """Tell whether to ask for what there is, old or not.

        A daemon that starts can serve by it until it hears more.
        """
        if self._held.configuration and self._held.targets:
            return False
        now_s = self._clock.monotonic_s()
        if now_s < self._first_due_s:
            return False
        self._first_due_s = now_s + _FIRST_AGAIN_S * (1 + self._random.random())
        return True

    def _is_due(self) -> bool:
        """Tell whether this daemon has to read now."""
        rank = self._carriers.own_rank()
        if rank == 0:
            return True
        age_s = self._guard.age_s()
        if age_s is None:
            return False
        spread = self._random.random()
        return age_s > _LATE_S + _STEP_S * (rank + spread)

    async def _read(self, *, allow_stale: bool) -> bool:
        try:
            reading = await self._source.read(allow_stale=allow_stale)
        except errors.PlatformError as error:
            self._lost(error)
            return False
        if reading.configuration is not None:
            self._shared.take_configuration(reading.configuration)
        if not allow_stale:
            self._regained()
            self._shared.take_targets(reading.targets)
        elif self._held.targets is None:
            self._held.offer_targets(reading.targets)
        return True

    def _lost(self, error: errors.PlatformError) -> None:
        if not self._is_lost:
            self._is_lost = True
            logs.failure('platform-lost', error)

    def _regained(self) -> None:
        if self._is_lost:
            self._is_lost = False
            logs.event('platform-regained')
