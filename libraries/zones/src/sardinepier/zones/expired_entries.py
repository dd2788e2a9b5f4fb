"""Telling a target that is gone from one whose entry lapsed.

While the platform is away, entries of targets that live may run out. They
are back a moment after its return, so that what is missing right then is
kept for that moment, and what is still missing afterwards is gone.

The platform may also come back from a copy that is some seconds old. Such a list
lacks targets that started since, and names some that left.
"""

from collections.abc import Collection
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.entry import model

_AWAY_AFTER_S: Final = 1.5
"""Readings come each second; a longer gap after which this daemon's own
reading had failed, too, means that the platform was away."""

_BACK_WITHIN_S: Final = 2.2
"""Entries of targets that live are back within two seconds of the
platform's return."""


_COPY_CORRECTED_S: Final = 6.0
"""Entries of targets that left are gone from a restored copy by then: they run out
after three heartbeats of a second and a half."""


class ExpiredEntryGuard:
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
        self._read_era: int | None = None
        self._left: frozenset[ids.TargetId] = frozenset()
        self._left_until_s = 0.0
        self._restored_until_s = 0.0

    def is_restoring(self) -> bool:
        """Tell whether a restored platform may still lack what was written.

        Until then a reading confirms nothing: what it lacks may be newer.
        """
        return self._clock.monotonic_s() < self._restored_until_s

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
        kept unless its own reading failed since anybody's succeeded, or the
        platform was restored from a copy. A target
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
        self._note_era(held, fresh)
        fresh = self._without_those_that_left(held, fresh)
        if held is None or now_s >= self._keep_until_s:
            return fresh
        listed = {target.stable_name for target in fresh.targets}
        lapsed = tuple(
            target
            for target in held.targets
            if target.stable_name not in listed
            and target.stable_name not in unusable
            and target.state is model.TargetState.READY
        )
        return model.TargetList(fresh.revision, fresh.targets + lapsed)

    def _note_era(
        self,
        held: model.TargetList | None,
        fresh: model.TargetList,
    ) -> None:
        """Take in whether the platform was restored since the last reading."""
        before = self._read_era
        self._read_era = fresh.epoch
        if held is None or before is None or fresh.epoch <= before:
            return
        now_s = self._clock.monotonic_s()
        self._keep_until_s = now_s + _BACK_WITHIN_S
        self._restored_until_s = now_s + _BACK_WITHIN_S
        self._left_until_s = now_s + _COPY_CORRECTED_S
        known = {target.target_id for target in held.targets}
        self._left = frozenset(
            target.target_id
            for target in fresh.targets
            if target.target_id not in known
        )

    def _without_those_that_left(
        self,
        held: model.TargetList | None,
        fresh: model.TargetList,
    ) -> model.TargetList:
        """Return ``fresh`` without what a restored copy names wrongly.

        That are targets which had left before, and the state of those that
        had begun to.
        """
        if held is None or self._clock.monotonic_s() >= self._left_until_s:
            return fresh
        draining = {
            target.target_id: target
            for target in held.targets
            if target.state is model.TargetState.DRAINING
        }
        return model.TargetList(
            fresh.revision,
            tuple(
                draining.get(target.target_id, target)
                for target in fresh.targets
                if target.target_id not in self._left
            ),
        )
