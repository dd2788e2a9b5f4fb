"""Telling a target that is gone from one whose entry lapsed.

While the platform is away, entries of targets that live may run out. They
are back a moment after its return, so that what is missing right then is
kept for that moment, and what is still missing afterwards is gone.
"""

from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.entry import model

_AWAY_AFTER_S: Final = 1.5
"""Readings come each second; a longer gap means that the platform was away
or out of reach."""

_BACK_WITHIN_S: Final = 2.2
"""Entries of targets that live are back within two seconds of the
platform's return."""


class LapseGuard:
    """Completes target lists that are read right after a gap."""

    def __init__(self, clock: clocks.Clock) -> None:
        """Start without a reading."""
        self._clock = clock
        self._confirmed_s: float | None = None
        self._keep_until_s = 0.0

    def age_s(self) -> float | None:
        """Return how long ago a list was confirmed, None for never."""
        if self._confirmed_s is None:
            return None
        return self._clock.monotonic_s() - self._confirmed_s

    def confirmed(self, age_s: float) -> None:
        """Note that a list was confirmed ``age_s`` seconds ago, by anyone."""
        moment_s = self._clock.monotonic_s() - age_s
        if self._confirmed_s is None or moment_s > self._confirmed_s:
            self._confirmed_s = moment_s

    def complete(
        self,
        held: model.TargetList | None,
        fresh: model.TargetList,
    ) -> model.TargetList:
        """Return ``fresh``, with what may only have lapsed from ``held``.

        A target that ``held`` shows as draining is not kept.
        """
        now_s = self._clock.monotonic_s()
        age_s = self.age_s()
        if held is not None and (age_s is None or age_s > _AWAY_AFTER_S):
            self._keep_until_s = now_s + _BACK_WITHIN_S
        self.confirmed(0)
        if held is None or now_s >= self._keep_until_s:
            return fresh
        listed = {target.target_id for target in fresh.targets}
        lapsed = tuple(
            target
            for target in held.targets
            if target.target_id not in listed
            and target.state is model.TargetState.READY
        )
        return model.TargetList(fresh.revision, fresh.targets + lapsed)
