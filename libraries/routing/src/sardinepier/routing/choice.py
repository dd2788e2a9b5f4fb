"""Which of the targets with a free slot gets the next request.

Every chooser gets the same candidates and keeps the same contract: it returns
the name of one candidate which is :meth:`Candidate.is_free`, or ``None`` when
there is no such candidate. It never returns a candidate of weight 0.
"""

import dataclasses
import random
from collections.abc import Callable, Sequence
from typing import Final, Protocol

from sardinepier.core import ids
from sardinepier.routing.internal import checks

_DRAWS: Final = 4
"""Random draws before all candidates are searched for a usable one."""

_HALF_A_SLOT: Final = 0.5
"""Peers' counts fade and are not whole; a slot counts as free from half on."""


@dataclasses.dataclass(slots=True)
class Candidate:
    """A target as the chooser sees it at this moment.

    ``weight`` is 0 (no work) to 1 (its full share) and comes from health.
    ``in_flight`` counts this daemon's own requests at the target,
    ``peers_in_flight`` those which the group's other daemons reported; the
    latter fade with age and are not whole numbers. ``home_slots`` of the
    slots are this daemon's own: it may use them whatever the counts say.
    Beyond them it leaves ``spare_slots`` free for the daemons that own them.
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
        """Tell whether the target may get one more request now.

        A target of reduced weight may use only that part of its slots, but
        always at least one: otherwise it could never prove itself.
        """
        return self.has_home_slot() or self.has_shared_slot()

    def has_home_slot(self) -> bool:
        """Tell whether one of the daemon's home slots is free."""
        if self.weight <= 0:
            return False
        return self.in_flight < min(self.home_slots, self._usable())

    def has_shared_slot(self) -> bool:
        """Tell whether all counts together leave a slot to borrow."""
        if self.weight <= 0:
            return False
        usable = self._usable()
        left = usable - self.in_flight - self.peers_in_flight
        return left > _HALF_A_SLOT + min(self.spare_slots, usable - 1)

    def load(self) -> float:
        """Return the part of the slots in use once it gets one more."""
        return (self.in_flight + self.peers_in_flight + 1) / self.slots

    def _usable(self) -> float:
        return max(1.0, self.slots * self.weight)


class TargetChooser(Protocol):
    """Decides which candidate gets the next request."""

    def choose(self, candidates: Sequence[Candidate]) -> ids.TargetId | None:
        """Return the name of a free candidate, or ``None`` if none is free."""
        ...


class RandomChoice:
    """Any free target, each as often as its weight says."""

    def __init__(self, random_source: random.Random) -> None:
        """Draw from ``random_source``."""
        self._random = random_source

    def choose(self, candidates: Sequence[Candidate]) -> ids.TargetId | None:
        """Return the name of a free candidate, or ``None`` if none is free."""
        drawn = draw(candidates, self._random)
        return None if drawn is None else drawn.target_id


class RoundRobin:
    """The free target whose last turn is longest ago."""

    def __init__(self) -> None:
        """Start with nobody's turn taken."""
        self._turn = 0
        self._last_turns: dict[ids.TargetId, int] = {}

    def choose(self, candidates: Sequence[Candidate]) -> ids.TargetId | None:
        """Return the name of a free candidate, or ``None`` if none is free."""
        free = [one.target_id for one in candidates if one.is_free()]
        if not free:
            return None
        chosen = min(free, key=lambda one: self._last_turns.get(one, 0))
        self._turn += 1
        self._last_turns[chosen] = self._turn
        return chosen


class LeastLoadedOfTwo:
    """The less loaded of two targets drawn at random.

    The load counts the requests in flight of this daemon and of its group,
    relative to the target's slots. Taking the least loaded of *all* targets
    fails with several daemons: they all see the same old counts and send all
    new work to the same target.
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
    """Targets of the own zone first, others only past a threshold.

    This is the rule of Xie and Lu, "Priority Algorithm for Near-data
    Scheduling" (section II.A), carried over: a target in the daemon's zone
    comes first; another zone's target gets work only when the local queue
    exceeds ``alpha / gamma``, the ratio of the local to the remote rate.
    ``local_queue`` returns the number of requests that wait for each local
    slot. With ``threshold`` 0 and an empty queue, other zones are used as
    soon as no local slot is free.
    """

    def __init__(
        self,
        own_zone: ids.ZoneName,
        inner: TargetChooser,
        threshold: float,
        local_queue: Callable[[], float],
    ) -> None:
        """Choose with ``inner`` among local, then among other targets.

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
        local = [one for one in candidates if one.zone == self._own_zone]
        chosen = self._inner.choose(local)
        if chosen is not None:
            return chosen
        if self._local_queue() < self._threshold:
            return None
        return self._inner.choose(
            [one for one in candidates if one.zone != self._own_zone],
        )


def draw(
    candidates: Sequence[Candidate],
    random_source: random.Random,
) -> Candidate | None:
    """Return a free candidate drawn by weight, ``None`` if none is free.

    A few draws nearly always suffice, at a cost that doesn't grow with the
    number of candidates. Only then all of them are looked at.
    """
    for _ in range(_DRAWS if candidates else 0):
        place = int(random_source.random() * len(candidates))
        drawn = candidates[place]
        if drawn.is_free() and random_source.random() < drawn.weight:
            return drawn
    free = [one for one in candidates if one.is_free()]
    if not free:
        return None
    weights = [one.weight for one in free]
    return random_source.choices(free, weights)[0]
