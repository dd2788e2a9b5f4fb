"""Which carriers fell silent, and which handed their zone over."""

from collections.abc import Collection
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids

BEAT_INTERVAL_S: Final = 0.25
SILENT_AFTER_S: Final = 0.9
"""Three missed beats: two may be lost or late on a busy instance."""

STANDS_DOWN_S: Final = 10.0
"""How long a carrier that handed its zone over is passed over: longer than
most losses of a link, and short enough that a zone which hands over in vain,
since nobody reaches what is lost, does so seldom."""


class Availability:
    """What this daemon heard from, and of, those that may carry its zone."""

    def __init__(self, clock: clocks.Clock) -> None:
        """Start without any news."""
        self._clock = clock
        self._heard_s: dict[ids.InstanceId, float] = {}
        self._expected_s: dict[ids.InstanceId, float] = {}
        self._back_at_s: dict[ids.InstanceId, float] = {}

    def heard(self, sender: ids.InstanceId) -> None:
        """Note a beat of ``sender``."""
        self._heard_s[sender] = self._clock.monotonic_s()

    def stands_down(self, sender: ids.InstanceId) -> None:
        """Pass ``sender`` over for a while: it handed its zone over."""
        self._back_at_s[sender] = self._clock.monotonic_s() + STANDS_DOWN_S

    def is_down(self, instance_id: ids.InstanceId) -> bool:
        """Tell whether a daemon handed the zone over a moment ago."""
        now_s = self._clock.monotonic_s()
        return now_s < self._back_at_s.get(instance_id, now_s)

    def is_silent(self, instance_id: ids.InstanceId) -> bool:
        """Tell whether one that should beat was not heard for too long.

        Only carriers beat, so that only they can be silent. One that has just
        become a carrier is given time to begin, from the first question on.
        """
        now_s = self._clock.monotonic_s()
        expected_s = self._expected_s.setdefault(instance_id, now_s)
        heard_s = max(expected_s, self._heard_s.get(instance_id, expected_s))
        return now_s - heard_s > SILENT_AFTER_S

    def expect_only(self, carriers: Collection[ids.InstanceId]) -> None:
        """Expect beats of these, and of no others until they are asked for."""
        for instance_id in self._expected_s.keys() - carriers:
            del self._expected_s[instance_id]

    def forget_all_but(self, living: Collection[ids.InstanceId]) -> None:
        """Drop what was heard of daemons that are gone."""
        for known in (self._heard_s, self._back_at_s):
            for instance_id in known.keys() - living:
                del known[instance_id]
