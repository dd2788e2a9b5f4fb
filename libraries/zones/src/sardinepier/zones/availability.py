"""Records of which carriers became silent, and which handed their zone over."""

from collections.abc import Collection
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids

HEARTBEAT_INTERVAL_S: Final = 0.25
SILENT_AFTER_S: Final = 0.9
"""Three missed heartbeats: two may be lost or late on a busy instance."""

HANDOVER_PAUSE_S: Final = 10.0
"""How long a daemon that handed its zone over is no carrier: longer than most
losses of a link. It also spaces handovers that don't help since no daemon of
the zone reaches the targets."""


class Availability:
    """Heartbeats and handovers of the daemons of the own zone."""

    def __init__(self, clock: clocks.Clock) -> None:
        """Start without any record."""
        self._clock = clock
        self._last_seen_s: dict[ids.InstanceId, float] = {}
        self._expected_s: dict[ids.InstanceId, float] = {}
        self._available_at_s: dict[ids.InstanceId, float] = {}

    def record_heartbeat(self, sender: ids.InstanceId) -> None:
        """Record a heartbeat of ``sender``."""
        self._last_seen_s[sender] = self._clock.monotonic_s()

    def record_handover(self, sender: ids.InstanceId) -> None:
        """Exclude ``sender`` for a while, as it handed its zone over."""
        self._available_at_s[sender] = (
            self._clock.monotonic_s() + HANDOVER_PAUSE_S
        )

    def has_handed_over(self, instance_id: ids.InstanceId) -> bool:
        """Return whether a daemon is excluded after a handover."""
        now_s = self._clock.monotonic_s()
        return now_s < self._available_at_s.get(instance_id, now_s)

    def is_silent(self, instance_id: ids.InstanceId) -> bool:
        """Return whether the heartbeats of a carrier are overdue.

        Only carriers send heartbeats, so that only they can be silent. A new
        carrier has time to begin, counted from the first call for it.
        """
        now_s = self._clock.monotonic_s()
        expected_s = self._expected_s.setdefault(instance_id, now_s)
        last_seen_s = max(
            expected_s, self._last_seen_s.get(instance_id, expected_s)
        )
        return now_s - last_seen_s > SILENT_AFTER_S

    def expect_only(self, carriers: Collection[ids.InstanceId]) -> None:
        """Expect heartbeats of these only, until others are checked."""
        for instance_id in self._expected_s.keys() - carriers:
            del self._expected_s[instance_id]

    def retain_only(self, living: Collection[ids.InstanceId]) -> None:
        """Remove the records of daemons that are not in ``living``."""
        for times_s in (self._last_seen_s, self._available_at_s):
            for instance_id in times_s.keys() - living:
                del times_s[instance_id]
