"""The heartbeat status of the peers that this daemon probes."""

import dataclasses
from collections.abc import Iterable
from typing import Final

from sardinepier.core import ids

_TOLERATED_MISSES: Final = 2
MAX_CHECKS: Final = 256


@dataclasses.dataclass(slots=True)
class Watch:
    """The status of one peer that is probed each interval."""

    sequence: int = 0
    answered: bool = True
    missed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class IntervalOutcome:
    """The peers that answered and that missed a heartbeat in an interval.

    ``zone_checks_missed`` counts those of ``missed`` that were only probed as
    their zone seemed lost.
    """

    answered: tuple[ids.InstanceId, ...]
    missed: tuple[ids.InstanceId, ...]
    zone_checks_missed: int = 0


class Watches:
    """The peers that are monitored permanently, and those under a check.

    A check is for a member that another daemon claims to be dead. It ends with
    an answer, or when the member is suspected.
    """

    def __init__(self, checks_per_tick: int) -> None:
        """Start at most ``checks_per_tick`` checks per interval."""
        self._checks_per_tick = checks_per_tick
        self._monitored: dict[ids.InstanceId, Watch] = {}
        self._checks: dict[ids.InstanceId, Watch] = {}
        self._queued_checks: dict[ids.InstanceId, None] = {}
        self._zone_checks: set[ids.InstanceId] = set()

    def monitor(self, chosen: Iterable[ids.InstanceId]) -> None:
        """Set the peers to monitor; those that remain keep their status."""
        self._monitored = {
            instance_id: self._monitored.get(instance_id) or Watch()
            for instance_id in chosen
        }

    def check(self, instance_id: ids.InstanceId) -> None:
        """Queue a check, unless the peer is watched or the queue is full."""
        if (
            self.is_watched(instance_id)
            or len(self._queued_checks) >= MAX_CHECKS
        ):
            return
        self._queued_checks[instance_id] = None

    def check_zone(self, chosen: Iterable[ids.InstanceId]) -> None:
        """Check members of a zone that seems lost, in the coming interval."""
        for instance_id in chosen:
            if len(self._checks) < MAX_CHECKS:
                self._checks.setdefault(instance_id, Watch())
                self._zone_checks.add(instance_id)

    def is_watched(self, instance_id: ids.InstanceId) -> bool:
        """Return whether the peer is monitored or under a check."""
        return instance_id in self._monitored or instance_id in self._checks

    def close_interval(self) -> IntervalOutcome:
        """Count the answers and misses of the interval that ends now."""
        answered: list[ids.InstanceId] = []
        missed: list[ids.InstanceId] = []
        for instance_id, watch in self._by_instance().items():
            if watch.answered:
                watch.missed = 0
                answered.append(instance_id)
            else:
                watch.missed += 1
                missed.append(instance_id)
        for checked in answered:
            self._checks.pop(checked, None)
        zone_checks = self._zone_checks - self._monitored.keys()
        return IntervalOutcome(
            tuple(answered),
            tuple(missed),
            len(zone_checks.intersection(missed)),
        )

    def overdue(self, extra_misses: int) -> tuple[ids.InstanceId, ...]:
        """Return the peers that missed more heartbeats than tolerated."""
        tolerated = _TOLERATED_MISSES + extra_misses
        return tuple(
            instance_id
            for instance_id, watch in self._by_instance().items()
            if watch.missed >= tolerated
        )

    def watched_ids(self) -> tuple[ids.InstanceId, ...]:
        """Return the peers that are monitored or under a check."""
        return tuple(self._by_instance())

    def start_interval(self) -> tuple[ids.InstanceId, ...]:
        """Start queued checks and return the peers to probe."""
        self._zone_checks &= self._checks.keys()
        for instance_id in tuple(self._queued_checks)[: self._checks_per_tick]:
            self._queued_checks.pop(instance_id)
            self._checks[instance_id] = Watch()
        return self.watched_ids()

    def record_probe(self, instance_id: ids.InstanceId, sequence: int) -> None:
        """Record the probe that awaits an answer in this interval."""
        watch = self._by_instance().get(instance_id)
        if watch:
            watch.sequence = sequence
            watch.answered = False

    def sequence(self, instance_id: ids.InstanceId) -> int:
        """Return the sequence number of the newest probe, or 0 if none."""
        watch = self._by_instance().get(instance_id)
        return watch.sequence if watch else 0

    def record_answer(self, instance_id: ids.InstanceId) -> None:
        """Record that the peer answered in this interval."""
        watch = self._by_instance().get(instance_id)
        if watch:
            watch.answered = True

    def cancel_check(self, instance_id: ids.InstanceId) -> None:
        """End a check, whether started or queued."""
        self._checks.pop(instance_id, None)
        self._queued_checks.pop(instance_id, None)

    def record_suspicion(self, instance_id: ids.InstanceId) -> None:
        """End a check and reset the misses, to leave time to refute."""
        watch = self._by_instance().get(instance_id)
        if watch:
            watch.missed = 0
        self.cancel_check(instance_id)

    def reset(self) -> None:
        """Discard all missed heartbeats."""
        for watch in self._by_instance().values():
            watch.answered = True
            watch.missed = 0

    def _by_instance(self) -> dict[ids.InstanceId, Watch]:
        return {**self._checks, **self._monitored}
