"""Reading the platform for a zone: by one daemon, at a bounded pace.

The first of the carriers reads, since it has the strongest processor and link,
and the others hear from it. When the newest reading is too old, the others try
in the order of their places among the carriers, a moment apart, and the first
that succeeds goes on until the first carrier reads again. The platform may turn
some daemons away while it serves others.
"""

import asyncio
import random
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.entry import platform_state, service_registry
from sardinepier.platform import errors
from sardinepier.telemetry import logs
from sardinepier.zones import (
    carriers,
    events,
    expired_entries,
    unusable_entries,
    sharing,
)

_INTERVAL_S: Final = 0.9
"""Pace of readings. A target that leaves and a new configuration have to be
known everywhere within two seconds, and each reading is paid for."""

_YIELDS_S: Final = 0.1
"""How long a reader that is not the first carrier leaves it to that one to read.
A reading of 240 kB, and a list for 25 neighbours, take a weak link of ten
megabits 0.2 s each, and a strong one a hundredth."""

_SPARE_S: Final = 0.2
"""How long after its time the reader's reading may come before others try:
the platform answers in milliseconds, a slow one in a quarter of a second."""

_STEP_S: Final = 0.1
"""How much later each further daemon tries. Where the platform turns a third
away, four in a row fail in one case of eighty."""

_MEETS_S: Final = (0.6, 1.2)
"""How long a daemon that starts serves by what it read at a tenth of the price
before it reads anew, unless it hears from its zone. Half of 293 that start at once
know half of the others after 0.75 s; until then each takes itself for the one that
reads. Targets that left a moment ago are avoided as they fail."""

_OTHERS_ANSWER_S: Final = 0.06
"""How long other daemons are given to confirm the configuration before this one
asks the platform itself, while requests wait."""

_IDLE_S: Final = 0.05
_FIRST_RETRY_S: Final = 0.4
_LONGEST_RETRY_S: Final = 3.0
_RETRY_SPREAD: Final = (0.75, 1.25)
_FIRST_AGAIN_S: Final = 1.0
_MS_PER_S: Final = 1000
_NO_AGE: Final = -1


class PlatformReader:
    """Reads the platform while this daemon has to."""

    def __init__(
        self,
        source: platform_state.PublishedState,
        held: service_registry.ServiceRegistry,
        chosen: carriers.Carriers,
        guard: expired_entries.ExpiredEntryGuard,
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
        self.unusable_entries = unusable_entries.UnusableEntries()
        self._failures = 0
        meets_s = random_source.uniform(*_MEETS_S)
        self._met_s = clock.monotonic_s() + meets_s
        self._not_before_s = clock.monotonic_s()
        self._first_due_s = clock.monotonic_s()

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            await self.step()
            await asyncio.sleep(_IDLE_S)

    async def step(self) -> None:
        """Read once if this daemon has to read now."""
        if self._lacks_first():
            await self._read(allow_stale=True)
        elif self._is_due():
            await self._read(allow_stale=False)

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
        if self._clock.monotonic_s() < self._not_before_s:
            return False
        if self._is_waited_for():
            return True
        rank = self._carriers.own_rank()
        age_s = self._guard.age_s()
        if age_s is None:
            return rank == 0 and self._has_met()
        if rank == 0:
            return age_s >= _INTERVAL_S
        if self._guard.is_own:
            return age_s >= _INTERVAL_S + _YIELDS_S
        return age_s >= _INTERVAL_S + _SPARE_S + _STEP_S * rank

    def _is_waited_for(self) -> bool:
        """Tell whether requests wait for a confirmation that nobody gives."""
        waited_s = self._held.confirmation.longest_wait_s()
        return waited_s is not None and waited_s > _OTHERS_ANSWER_S

    def _has_met(self) -> bool:
        """Tell whether this daemon had time to hear of its zone.

        Not waited for without anything to serve by.
        """
        if self._held.targets is None:
            return True
        return self._clock.monotonic_s() >= self._met_s

    async def _read(self, *, allow_stale: bool) -> None:
        asked_s = self._clock.monotonic_s()
        confirms_s = self._held.confirmation.now_s()
        try:
            reading = await self._source.read(allow_stale=allow_stale)
        except errors.PlatformError as error:
            self._lost(error)
            return
        self.unusable_entries.take(reading.unusable)
        if reading.configuration is not None:
            self._shared.take_configuration(reading.configuration)
        if not allow_stale:
            self._shared.take_targets(
                reading.targets,
                asked_s=asked_s,
                unusable=_names_of(reading.unusable),
            )
            if reading.configuration and not self._guard.is_restoring():
                self._held.confirmation.confirm(confirms_s)
            self._regained()
            self._tell_slow(asked_s)
        elif self._held.targets is None:
            self._held.offer_targets(reading.targets)

    def _tell_slow(self, asked_s: float) -> None:
        took_s = self._clock.monotonic_s() - asked_s
        if took_s > _SPARE_S:
            logs.write(
                events.ReadingSlow(took_ms=round(took_s * _MS_PER_S)),
                level=logs.Level.WARNING,
            )

    def _lost(self, error: errors.PlatformError) -> None:
        if not self._failures:
            age_s = self._guard.age_s()
            logs.write(
                events.PlatformLost(
                    error=type(error).__name__,
                    what=error.what,
                    age_ms=_NO_AGE if age_s is None else int(age_s * _MS_PER_S),
                ),
                level=logs.Level.WARNING,
            )
        retry_s = min(_LONGEST_RETRY_S, _FIRST_RETRY_S * 2**self._failures)
        self._failures += 1
        self._guard.failed()
        spread = self._random.uniform(*_RETRY_SPREAD)
        self._not_before_s = self._clock.monotonic_s() + retry_s * spread

    def _regained(self) -> None:
        if self._failures:
            logs.write(events.PlatformRegained(failures=self._failures))
        self._failures = 0


def _names_of(
    unusable: tuple[platform_state.UnusableEntry, ...],
) -> frozenset[str]:
    return frozenset(one.name for one in unusable if one.name is not None)
