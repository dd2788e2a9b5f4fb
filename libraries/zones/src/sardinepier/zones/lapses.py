"""Telling a target that is gone from one whose entry lapsed.

While the platform is away, entries of targets that live may run out. They
are back a moment after its return, so that what is missing right then is
kept for that moment, and what is still missing afterwards is gone.
"""

from collections.abc import Collection
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.entry import model

_AWAY_AFTER_S: Final = 1.5
"""Readings come each second; a longer gap after which this daemon's own
reading had failed, too, means that the platform was away."""

_BACK_WITHIN_S: Final = 2.2
"""Entries of targets that live are back within two seconds of the
platform's return."""


class LapseGuard:
    """Knows how old the list of targets is, and keeps those that only lapsed.

    A list is as old as the moment at which the platform was asked for it:
    what it took on the way, to the reader and from there, counts. ``is_own``
    tells that this daemon made the newest reading known to it.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        """Start without a reading."""
        self.is_own = False
        self._clock = clock
        self._asked_s: float | None = None
        self._has_failed = False
        self._keep_until_s = 0.0

    def age_s(self) -> float | None:
        """Return how long ago somebody asked for the list, None for never."""
        if self._asked_s is None:
            return None
        return self._clock.monotonic_s() - self._asked_s

    def heard(self, reading_age_s: float) -> None:
        """Note that another daemon asked so long ago, and has a reading.

        Only the reader itself tells of its reading: if others passed it on
        with its age, the time on its way would make it seem ever younger.
        """
        asked_s = self._clock.monotonic_s() - reading_age_s
        if self._asked_s is None or asked_s > self._asked_s:
            self._asked_s = asked_s
            self._has_failed = False
            self.is_own = False

    def failed(self) -> None:
        """Note that this daemon's own reading failed."""
        self._has_failed = True

    def complete(
        self,
        held: model.TargetList | None,
        fresh: model.TargetList,
        *,
        asked_s: float,
        unusable: Collection[str] = (),
    ) -> model.TargetList:
        """Return ``fresh``, with what may only have lapsed from ``held``.

        ``asked_s`` is when this daemon asked for it, by its clock. Nothing is
        kept unless its own reading failed since anybody's succeeded. A target
        that ``held`` shows as draining is not kept, nor one that is listed as
        started anew, nor one whose entry is among the ``unusable``: that one
        is there, and names no target.
        """
        now_s = self._clock.monotonic_s()
        age_s = self.age_s()
        if self._has_failed and age_s is not None and age_s > _AWAY_AFTER_S:
            self._keep_until_s = now_s + _BACK_WITHIN_S
        self._has_failed = False
        self._asked_s = asked_s
        self.is_own = True
        if held is None or now_s >= self._keep_until_s:
            return fresh
        listed = {target.own_name for target in fresh.targets}
        lapsed = tuple(
            target
            for target in held.targets
            if target.own_name not in listed
            and target.own_name not in unusable
            and target.state is model.TargetState.READY
        )
        return model.TargetList(fresh.revision, fresh.targets + lapsed)
