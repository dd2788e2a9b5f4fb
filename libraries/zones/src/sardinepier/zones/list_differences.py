"""Daemons whose reports can't be applied, as they have another target list."""

from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.telemetry import logs
from sardinepier.zones import events

_LOGGED_AFTER_S: Final = 5.0
"""Lists differ for up to two seconds after each change of a target."""

_FORGOTTEN_AFTER_S: Final = 10.0


class ListDifferences:
    """Logs it once when the lists of two daemons differ for long."""

    def __init__(self, clock: clocks.Clock) -> None:
        """Start without differences."""
        self._clock = clock
        self._since_s: dict[ids.InstanceId, float] = {}
        self._newest_s: dict[ids.InstanceId, float] = {}
        self._logged: set[ids.InstanceId] = set()

    def record(self, sender: ids.InstanceId, *, is_same: bool) -> None:
        """Record whether a report of ``sender`` had this daemon's list."""
        now_s = self._clock.monotonic_s()
        if is_same:
            self._end(sender)
            return
        since_s = self._since_s.setdefault(sender, now_s)
        self._newest_s[sender] = now_s
        if now_s - since_s > _LOGGED_AFTER_S and sender not in self._logged:
            self._logged.add(sender)
            logs.write(
                events.SlotUseUnusable(member=sender), level=logs.Level.WARNING
            )

    def expire(self) -> None:
        """Forget the daemons that are silent for a while."""
        now_s = self._clock.monotonic_s()
        for sender, newest_s in tuple(self._newest_s.items()):
            if now_s - newest_s > _FORGOTTEN_AFTER_S:
                self._forget(sender)

    def _end(self, sender: ids.InstanceId) -> None:
        if sender in self._logged:
            logs.write(events.SlotUseUsable(member=sender))
        self._forget(sender)

    def _forget(self, sender: ids.InstanceId) -> None:
        self._since_s.pop(sender, None)
        self._newest_s.pop(sender, None)
        self._logged.discard(sender)
