"""Distinction between targets that left and targets whose entry only expired.

During an outage of the platform, entries of live targets may expire. The
targets renew them soon after its return, so that missing targets are kept for
that time, and those that are still missing afterwards are gone.

The platform may also be restored from a copy that is some seconds old. Its list
then lacks targets that started since, and contains some that left.
"""

from collections.abc import Collection
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.entry import model

_OUTAGE_AFTER_S: Final = 1.5
"""Age of the newest snapshot that shows an outage of the platform, if this
daemon's own read failed, too. Snapshots are read each second."""

_RENEWAL_TIME_S: Final = 2.2
"""Targets renew their entries within two seconds of the platform's return."""

_COPY_EXPIRY_S: Final = 6.0
"""Time after which a restored copy no longer has entries of targets that left:
they expire after three heartbeats of a second and a half."""


class ExpiredEntryGuard:
    """Tracks the age of the target list, and keeps expired targets.

    The age counts from the request to the platform, so that it includes the
    transfers to the reader and from there. ``is_own_snapshot`` says that this
    daemon itself read the newest snapshot known to it.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        """Start without a snapshot."""
        self.is_own_snapshot = False
        self._clock = clock
        self._requested_s: float | None = None
        self._has_failed = False
        self._keep_until_s = 0.0
        self._epoch: int | None = None
        self._departed: frozenset[ids.TargetId] = frozenset()
        self._departed_until_s = 0.0
        self._restored_until_s = 0.0

    def is_restoring(self) -> bool:
        """Return whether a restored platform may still lack newer writes.

        Until they are repeated, a snapshot confirms no configuration, as a
        newer one may be missing.
        """
        return self._clock.monotonic_s() < self._restored_until_s

    def age_s(self) -> float | None:
        """Return how long ago the list was requested, None without one."""
        if self._requested_s is None:
            return None
        return self._clock.monotonic_s() - self._requested_s

    def record_peer_snapshot(self, snapshot_age_s: float) -> None:
        """Record the age of a snapshot that another daemon has read.

        Only the reader itself announces its snapshot. Transit time is not part
        of the age, so that each hop would make the snapshot seem younger.
        """
        requested_s = self._clock.monotonic_s() - snapshot_age_s
        if self._requested_s is None or requested_s > self._requested_s:
            self._requested_s = requested_s
            self._has_failed = False
            self.is_own_snapshot = False

    def record_failure(self) -> None:
        """Record that this daemon failed to read the platform."""
        self._has_failed = True

    def reconcile(
        self,
        current: model.TargetList | None,
        fresh: model.TargetList,
        *,
        requested_s: float,
        unusable: Collection[str] = (),
    ) -> model.TargetList:
        """Return ``fresh`` with the targets of ``current`` that only expired.

        ``requested_s`` is when this daemon requested ``fresh``, by its clock.
        Targets are only kept if this daemon failed to read since the newest
        successful snapshot of any daemon, or after the platform was restored
        from a copy. Not kept are targets that drain in ``current``, those with
        a newer incarnation in ``fresh``, and those whose entry is among the
        ``unusable``, which exists and hasn't expired.
        """
        now_s = self._clock.monotonic_s()
        age_s = self.age_s()
        if self._has_failed and age_s is not None and age_s > _OUTAGE_AFTER_S:
            self._keep_until_s = now_s + _RENEWAL_TIME_S
        self._has_failed = False
        self._requested_s = requested_s
        self.is_own_snapshot = True
        self._detect_restore(current, fresh)
        fresh = self._without_departed(current, fresh)
        if current is None or now_s >= self._keep_until_s:
            return fresh
        listed = {target.stable_name for target in fresh.targets}
        expired = tuple(
            target
            for target in current.targets
            if target.stable_name not in listed
            and target.stable_name not in unusable
            and target.state is model.TargetState.READY
        )
        return model.TargetList(fresh.revision, fresh.targets + expired)

    def _detect_restore(
        self,
        current: model.TargetList | None,
        fresh: model.TargetList,
    ) -> None:
        """Detect whether the platform was restored since the last snapshot."""
        before = self._epoch
        self._epoch = fresh.epoch
        if current is None or before is None or fresh.epoch <= before:
            return
        now_s = self._clock.monotonic_s()
        self._keep_until_s = now_s + _RENEWAL_TIME_S
        self._restored_until_s = now_s + _RENEWAL_TIME_S
        self._departed_until_s = now_s + _COPY_EXPIRY_S
        known = {target.target_id for target in current.targets}
        self._departed = frozenset(
            target.target_id
            for target in fresh.targets
            if target.target_id not in known
        )

    def _without_departed(
        self,
        current: model.TargetList | None,
        fresh: model.TargetList,
    ) -> model.TargetList:
        """Return ``fresh`` without outdated entries of a restored copy.

        These are targets that had left before the restore, and the state of
        those that had begun to drain.
        """
        if (
            current is None
            or self._clock.monotonic_s() >= self._departed_until_s
        ):
            return fresh
        draining = {
            target.target_id: target
            for target in current.targets
            if target.state is model.TargetState.DRAINING
        }
        return model.TargetList(
            fresh.revision,
            tuple(
                draining.get(target.target_id, target)
                for target in fresh.targets
                if target.target_id not in self._departed
            ),
        )
