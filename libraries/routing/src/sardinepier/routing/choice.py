"""Choosers, which select the target of the next request.

All choosers have the same contract: they return the name of a candidate for
which :meth:`Candidate.is_free` holds, or ``None`` if there is none. They never
return a candidate of weight 0.
"""

import dataclasses
import random
from collections.abc import Callable, Sequence
from typing import Final, Protocol

from sardinepier.core import ids
from sardinepier.routing.internal import checks

_MAX_DRAWS: Final = 4
"""Random draws before all candidates are searched for a free one."""

_MIN_FREE_SLOTS: Final = 0.5
"""Peers' counts are fractions, because they are weighted by age. A slot counts
as free if more than half of it is."""


@dataclasses.dataclass(slots=True)
class Candidate:
    """The current state of a target.

    ``weight`` is 0 (no requests) to 1 (its full share) and depends on health.
    ``in_flight`` counts this daemon's own requests at the target and
    ``peers_in_flight`` those that the group's other daemons reported, which
    are weighted by the age of the report and thus fractions. This daemon may
    always use its ``home_slots``, whatever the counts are. Of the other slots
    it leaves ``spare_slots`` free for the daemons that own them.
    """

    target_id: ids.TargetId
    zone: ids.ZoneName
    weight: float
    slots: int
    in_flight: int = 0
    peers_in_flight: float = 0.0
    home_slots: int = 0
    spare_slots: int = 0

    def is_free(self) -> bool:
        """Return whether the target may get one more request now.

        A target of reduced weight may use only that part of its slots, but at
        least one: without requests it could never recover its weight.
        """
        return self.has_home_slot() or self.has_shared_slot()

    def has_home_slot(self) -> bool:
        """Return whether one of the daemon's home slots is free."""
        if self.weight <= 0:
            return False
        return self.in_flight < min(self.home_slots, self._usable())

    def has_shared_slot(self) -> bool:
        """Return whether the sum of all counts leaves a slot to borrow."""
        if self.weight <= 0:
            return False
        usable = self._usable()
        free = usable - self.in_flight - self.peers_in_flight
        return free > _MIN_FREE_SLOTS + min(self.spare_slots, usable - 1)

    def load(self) -> float:
        """Return the used part of the slots, including one more request."""
        return (self.in_flight + self.peers_in_flight + 1) / self.slots

    def _usable(self) -> float:
        return max(1.0, self.slots * self.weight)


class TargetChooser(Protocol):
    """Selects the candidate that gets the next request."""

    def choose(self, candidates: Sequence[Candidate]) -> ids.TargetId | None:
        """Return the name of a free candidate, or ``None`` if none is free."""
        ...


class RandomChoice:
    """Chooses a random free target, with probabilities by weight."""

    def __init__(self, random_source: random.Random) -> None:
        """Draw from ``random_source``."""
        self._random = random_source

    def choose(self, candidates: Sequence[Candidate]) -> ids.TargetId | None:
        """Return the name of a free candidate, or ``None`` if none is free."""
        drawn = draw(candidates, self._random)
        return None if drawn is None else drawn.target_id


class RoundRobin:
    """Chooses the free target that was chosen least recently."""

    def __init__(self) -> None:
        """Start without previous choices."""
        self._choices = 0
        self._last_chosen: dict[ids.TargetId, int] = {}

    def choose(self, candidates: Sequence[Candidate]) -> ids.TargetId | None:
        """Return the name of a free candidate, or ``None`` if none is free."""
        free = [
            candidate.target_id
            for candidate in candidates
            if candidate.is_free()
        ]
        if not free:
            return None
        chosen = min(
            free,
            key=lambda target_id: self._last_chosen.get(target_id, 0),
        )
        self._choices += 1
        self._last_chosen[chosen] = self._choices
        return chosen


class LeastLoadedOfTwo:
    """Chooses the less loaded of two targets drawn at random.

    The load is the number of requests in flight of this daemon and its group,
    relative to the target's slots. Choosing the least loaded of *all* targets
    fails with several daemons: they have the same outdated counts and would
    send all new requests to the same target.
    """

    def __init__(self, random_source: random.Random) -> None:
        """Draw from ``random_source``."""
        self._random = random_source

    def choose(self, candidates: Sequence[Candidate]) -> ids.TargetId | None:
        """Return the name of a free candidate, or ``None`` if none is free."""
        first = draw(candidates, self._random)
        if first is None:
            return None
        second = draw(candidates, self._random) or first
        if second.load() < first.load():
            return second.target_id
        return first.target_id


class LocalFirst:
    """Prefers targets of the own zone, up to a threshold.

    This adapts the rule of Xie and Lu, "Priority Algorithm for Near-data
    Scheduling" (section II.A): a target in the daemon's zone comes first, and
    a target in another zone gets requests only if the local queue exceeds
    ``alpha / gamma``, the ratio of the local to the remote rate.
    ``local_queue`` returns the number of waiting requests per local slot. With
    ``threshold`` 0 and an empty queue, other zones are used as soon as no
    local slot is free.
    """

    def __init__(
        self,
        own_zone: ids.ZoneName,
        inner: TargetChooser,
        threshold: float,
        local_queue: Callable[[], float],
    ) -> None:
        """Choose with ``inner`` among local targets, then among remote ones.

        Raises :class:`sardinepier.routing.errors.RoutingOptionError` when
        ``threshold`` is negative.
        """
        checks.not_negative('threshold', threshold)
        self._own_zone = own_zone
        self._inner = inner
        self._threshold = threshold
        self._local_queue = local_queue

    def choose(self, candidates: Sequence[Candidate]) -> ids.TargetId | None:
        """Return the name of a free candidate, or ``None`` if none is free."""
        local = [
            candidate
            for candidate in candidates
            if candidate.zone == self._own_zone
        ]
        chosen = self._inner.choose(local)
        if chosen is not None:
            return chosen
        if self._local_queue() < self._threshold:
            return None
        return self._inner.choose(
            [
                candidate
                for candidate in candidates
                if candidate.zone != self._own_zone
            ],
        )


def draw(
    candidates: Sequence[Candidate],
    random_source: random.Random,
) -> Candidate | None:
    """Return a free candidate drawn by weight, ``None`` if none is free.

    A few draws nearly always suffice, and their cost does not depend on the
    number of candidates. If they fail, all candidates are searched.
    """
    for _ in range(_MAX_DRAWS if candidates else 0):
        position = int(random_source.random() * len(candidates))
        drawn = candidates[position]
        if drawn.is_free() and random_source.random() < drawn.weight:
            return drawn
    free = [candidate for candidate in candidates if candidate.is_free()]
    if not free:
        return None
    weights = [candidate.weight for candidate in free]
    return random_source.choices(free, weights)[0]
