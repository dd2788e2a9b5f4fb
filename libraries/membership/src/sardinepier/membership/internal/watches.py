"""Which peers answered and which did not, heartbeat by heartbeat."""

import dataclasses
from collections.abc import Iterable
from typing import Final

from sardinepier.core import ids

_TOLERATED_MISSES: Final = 2
MAX_CHECKS: Final = 256


@dataclasses.dataclass(slots=True)
class Watch:
    """One peer that is probed each interval."""

    sequence: int = 0
    answered: bool = True
    missed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Findings:
    """What one interval showed."""

    answered: tuple[ids.InstanceId, ...]
    missed: tuple[ids.InstanceId, ...]


class Watches:
    """The peers monitored all the time, and those checked for once.

    A check is for a member whose life another daemon doubts. It ends with an
    answer, or when the member is suspected.
    """

    def __init__(self, checks_per_tick: int) -> None:
        """Start at most that many checks an interval."""
        self._checks_per_tick = checks_per_tick
        self._monitored: dict[ids.InstanceId, Watch] = {}
        self._checks: dict[ids.InstanceId, Watch] = {}
        self._waiting: dict[ids.InstanceId, None] = {}

    def monitor(self, chosen: Iterable[ids.InstanceId]) -> None:
        """Set the peers to monitor; those that stay keep their count."""
        self._monitored = {
            instance_id: self._monitored.get(instance_id) or Watch()
            for instance_id in chosen
        }

    def check(self, instance_id: ids.InstanceId) -> None:
        """Ask for a check, unless the bound is reached or one is on."""
        if self.is_watched(instance_id) or len(self._waiting) >= MAX_CHECKS:
            return
        self._waiting[instance_id] = None

    def is_watched(self, instance_id: ids.InstanceId) -> bool:
        """Tell whether the peer is monitored or being checked."""
        return instance_id in self._monitored or instance_id in self._checks

    def conclude(self) -> Findings:
        """Weigh the probes of the interval that ends now."""
        answered: list[ids.InstanceId] = []
        missed: list[ids.InstanceId] = []
        for instance_id, watch in self._all().items():
            if watch.answered:
                watch.missed = 0
                answered.append(instance_id)
            else:
                watch.missed += 1
                missed.append(instance_id)
        for checked in answered:
            self._checks.pop(checked, None)
        return Findings(tuple(answered), tuple(missed))

    def overdue(self, doubt: int) -> tuple[ids.InstanceId, ...]:
        """Return the peers that missed too many heartbeats."""
        tolerated = _TOLERATED_MISSES + doubt
        return tuple(
            instance_id
            for instance_id, watch in self._all().items()
            if watch.missed >= tolerated
        )

    def names(self) -> tuple[ids.InstanceId, ...]:
        """Return the peers that are watched now."""
        return tuple(self._all())

    def due(self) -> tuple[ids.InstanceId, ...]:
        """Return the peers to probe in this interval."""
        for instance_id in tuple(self._waiting)[: self._checks_per_tick]:
            self._waiting.pop(instance_id)
            self._checks[instance_id] = Watch()
        return self.names()

    def sent(self, instance_id: ids.InstanceId, sequence: int) -> None:
        """Note the probe that awaits an answer in this interval."""
        watch = self._all().get(instance_id)
        if watch:
            watch.sequence = sequence
            watch.answered = False

    def sequence(self, instance_id: ids.InstanceId) -> int:
        """Return the number of the newest probe of a watched peer."""
        watch = self._all().get(instance_id)
        return watch.sequence if watch else 0

    def answer(self, instance_id: ids.InstanceId) -> None:
        """Note that the peer is alive in this interval."""
        watch = self._all().get(instance_id)
        if watch:
            watch.answered = True

    def drop(self, instance_id: ids.InstanceId) -> None:
        """End a check, begun or not."""
        self._checks.pop(instance_id, None)
        self._waiting.pop(instance_id, None)

    def suspected(self, instance_id: ids.InstanceId) -> None:
        """End a check and count anew, so that a refutation has its time."""
        watch = self._all().get(instance_id)
        if watch:
            watch.missed = 0
        self.drop(instance_id)

    def reset(self) -> None:
        """Count nothing that was missed so far."""
        for watch in self._all().values():
            watch.answered = True
            watch.missed = 0

    def _all(self) -> dict[ids.InstanceId, Watch]:
        return {**self._checks, **self._monitored}
