"""Platform reader of a zone: one daemon reads, at a limited rate.

The first carrier reads, as it has the strongest processor and link, and sends
the snapshots to the others. When the newest snapshot is too old, the others try
in the order of their ranks, a short time apart, and the first that succeeds
goes on until the first carrier reads again. The platform may refuse some
daemons while it serves others.
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
    sharing,
    unusable_entries,
)

_INTERVAL_S: Final = 0.9
"""Interval of snapshots. Leaving targets and new configurations have to be
known everywhere within two seconds, and each read costs money."""

_FIRST_CARRIER_LEAD_S: Final = 0.1
"""Delay by which a reader that is not the first carrier lets that one read
first. A snapshot of 240 kB, and a list for 25 daemons of the zone, take 0.2 s
each on a weak link of ten megabits, and a hundredth of that on a strong one."""

_MAX_DELAY_S: Final = 0.2
"""Delay of a snapshot after which other daemons try to read: the platform
answers in milliseconds, when slow in a quarter of a second."""

_DELAY_PER_RANK_S: Final = 0.1
"""Additional delay for each rank. If the platform refuses a third of the
daemons, four in a row fail in one case of eighty."""

_MEETING_TIME_S: Final = (0.6, 1.2)
"""Range of the time for which a starting daemon serves by a stale snapshot, at
a tenth of the price, before it reads a fresh one, unless its zone sends it one.
Half of 293 daemons that start together know half of the others after 0.75 s;
until then each one acts as the reader. Targets that just left are avoided as
they fail."""

_PEER_CONFIRMATION_S: Final = 0.06
"""Time that other daemons have to confirm the configuration before this one
reads the platform itself, while requests wait for the confirmation."""

_POLL_INTERVAL_S: Final = 0.05
_MIN_RETRY_S: Final = 0.4
_MAX_RETRY_S: Final = 2.0
"""With the spread below the three seconds after which a daemon that the platform
serves again has to know each change."""

_RETRY_SPREAD: Final = (0.75, 1.25)
_STALE_RETRY_S: Final = 1.0
_MS_PER_S: Final = 1000
_NO_AGE: Final = -1


class PlatformReader:
    """Reads the platform while that is this daemon's task."""

    def __init__(
        self,
        source: platform_state.PublishedState,
        services: service_registry.ServiceRegistry,
        zone_carriers: carriers.Carriers,
        guard: expired_entries.ExpiredEntryGuard,
        zone_sharing: sharing.ZoneSharing,
        clock: clocks.Clock,
        random_source: random.Random,
    ) -> None:
        """Read from ``source``; nothing is read yet."""
        self._source = source
        self._services = services
        self._carriers = zone_carriers
        self._guard = guard
        self._sharing = zone_sharing
        self._clock = clock
        self._random = random_source
        self.unusable_entries = unusable_entries.UnusableEntries()
        self.unexpected_failures = 0
        self._failures = 0
        meeting_time_s = random_source.uniform(*_MEETING_TIME_S)
        self._met_at_s = clock.monotonic_s() + meeting_time_s
        self._others_read_at_s = (
            clock.monotonic_s() + _MEETING_TIME_S[1] + _MAX_DELAY_S
        )
        self._next_read_s = clock.monotonic_s()
        self._stale_due_s = clock.monotonic_s()

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            await self.step_safely()
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def step_safely(self) -> None:
        """Like :meth:`step`, but log an unexpected error and try again later.

        The daemon serves on by what it has, and by what others send.
        """
        try:
            await self.step()
        except Exception as error:  # noqa: BLE001 - a fault must not end the daemon
            self.unexpected_failures += 1
            logs.failure('reading-failed', error, level=logs.Level.ERROR)
            self._postpone()

    async def step(self) -> None:
        """Read the platform once if a read is due."""
        if self._needs_stale_snapshot():
            await self._read(allow_stale=True)
        elif self._is_due():
            await self._read(allow_stale=False)

    def _needs_stale_snapshot(self) -> bool:
        """Return whether to request a snapshot that may be stale.

        A starting daemon can serve by it until a fresh one arrives.
        """
        if self._services.configuration and self._services.targets:
            return False
        now_s = self._clock.monotonic_s()
        if now_s < self._stale_due_s:
            return False
        self._stale_due_s = now_s + _STALE_RETRY_S * (1 + self._random.random())
        return True

    def _is_due(self) -> bool:
        """Return whether this daemon has to read a fresh snapshot now."""
        if self._clock.monotonic_s() < self._next_read_s:
            return False
        if self._is_confirmation_overdue():
            return True
        rank = self._carriers.own_rank()
        age_s = self._guard.age_s()
        if age_s is None:
            return self._is_first_read_due(rank)
        if rank == 0:
            return age_s >= _INTERVAL_S
        if self._guard.is_own_snapshot:
            return age_s >= _INTERVAL_S + _FIRST_CARRIER_LEAD_S
        return age_s >= _INTERVAL_S + _MAX_DELAY_S + _DELAY_PER_RANK_S * rank

    def _is_confirmation_overdue(self) -> bool:
        """Return whether requests wait and no daemon confirms in time."""
        waited_s = self._services.confirmation.longest_wait_s()
        return waited_s is not None and waited_s > _PEER_CONFIRMATION_S

    def _is_first_read_due(self, rank: int) -> bool:
        """Return whether to read without any fresh snapshot since the start.

        The first carrier may be turned away by the platform or know nobody, so
        that the others read in the order of their ranks.
        """
        if rank == 0:
            return self._has_met()
        read_at_s = self._others_read_at_s + _DELAY_PER_RANK_S * rank
        return self._clock.monotonic_s() >= read_at_s

    def _has_met(self) -> bool:
        """Return whether this daemon had time to meet its zone.

        A daemon without a target list doesn't wait for that.
        """
        if self._services.targets is None:
            return True
        return self._clock.monotonic_s() >= self._met_at_s

    async def _read(self, *, allow_stale: bool) -> None:
        requested_s = self._clock.monotonic_s()
        confirmed_s = self._services.confirmation.now_s()
        try:
            snapshot = await self._source.read(allow_stale=allow_stale)
        except errors.PlatformError as error:
            self._on_failure(error)
            return
        self._apply(snapshot, requested_s, confirmed_s, allow_stale=allow_stale)

    def _apply(
        self,
        snapshot: platform_state.PlatformSnapshot,
        requested_s: float,
        confirmed_s: float,
        *,
        allow_stale: bool,
    ) -> None:
        self.unusable_entries.update(snapshot.unusable)
        if snapshot.configuration is not None:
            self._sharing.apply_configuration(snapshot.configuration)
        if not allow_stale:
            self._sharing.apply_targets(
                snapshot.targets,
                requested_s=requested_s,
                unusable=_names_of(snapshot.unusable),
            )
            if snapshot.configuration and not self._guard.is_restoring():
                self._services.confirmation.confirm(confirmed_s)
            self._on_success()
            self._log_slow(requested_s)
        elif self._services.targets is None:
            self._services.offer_targets(snapshot.targets)

    def _log_slow(self, requested_s: float) -> None:
        took_s = self._clock.monotonic_s() - requested_s
        if took_s > _MAX_DELAY_S:
            logs.write(
                events.ReadingSlow(took_ms=round(took_s * _MS_PER_S)),
                level=logs.Level.WARNING,
            )

    def _on_failure(self, error: errors.PlatformError) -> None:
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
        self._postpone()

    def _postpone(self) -> None:
        """Try again after a pause that grows with each failure in a row."""
        retry_s = min(_MAX_RETRY_S, _MIN_RETRY_S * 2**self._failures)
        self._failures += 1
        self._guard.record_failure()
        spread = self._random.uniform(*_RETRY_SPREAD)
        self._next_read_s = self._clock.monotonic_s() + retry_s * spread

    def _on_success(self) -> None:
        if self._failures:
            logs.write(events.PlatformRegained(failures=self._failures))
        self._failures = 0


def _names_of(
    unusable: tuple[platform_state.UnusableEntry, ...],
) -> frozenset[str]:
    return frozenset(entry.name for entry in unusable if entry.name is not None)
