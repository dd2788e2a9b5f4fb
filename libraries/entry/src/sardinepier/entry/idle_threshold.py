"""Which doubtful targets may be left idle, and how many."""

import math
from collections.abc import Iterable
from typing import Final

from sardinepier.entry import target_cost, target_record

LEAST_USED_SHARE: Final = 0.7
"""Share of the sound targets of a service that has to get requests within two
seconds while others fail, where an installation sets no other."""

_MARGIN: Final = 0.1
"""Part of the targets that look sound and don't count as such for the users: slow
ones, and those that came back a moment ago. With 0.05 too few were in use for 7 %
of the emulated time, with 0.1 for 2 %, at no measurable price."""

_SOUND_AFTER_S: Final = 1.5
"""How long after a failure a target is taken for sound: the users do after two
seconds, by when its turn has to have come."""

_LEAST_CHANCE: Final = 0.3
"""Below this no target may be left idle: just above the chance of one of which
nothing is known."""

_IDLE_FROM_KEPT_S: Final = 0.2
"""How long the bound of chances is kept: a chance fades by a fiftieth within
that time, and to look at a hundred targets takes a tenth of a millisecond."""


class IdleThreshold:
    """The chance of failure from which targets may be left idle.

    A failure is final for requests that may run only once, so that they keep
    away from targets that failed. As many may be left idle as the users allow,
    and these are the ones that fail most likely. In the emulator, with requests
    that run only once before targets of which three tenths fail at any time,
    too few were in use for 69 % of the time, and for 1 % with this bound and a
    turn for all while many fail; 3.8 of 100 requests failed, 2.9 before.
    """

    def __init__(self, least_used_share: float) -> None:
        """Use ``least_used_share``, 0 to 1, of the sound targets at least."""
        self._spare_share = max(0.0, 1 - least_used_share - _MARGIN)
        self._chance = _LEAST_CHANCE
        self._due_s = -math.inf

    def chance(
        self,
        records: Iterable[target_record.TargetRecord],
        context: target_cost.SelectionContext,
    ) -> float:
        """Return the bound for the targets of the whole service."""
        if context.now_s >= self._due_s:
            self._due_s = context.now_s + _IDLE_FROM_KEPT_S
            self._chance = self._found(records, context)
        return self._chance

    def _found(
        self,
        records: Iterable[target_record.TargetRecord],
        context: target_cost.SelectionContext,
    ) -> float:
        now_s = context.now_s
        sound = 0
        doubted: list[float] = []
        for record in records:
            if record.is_avoided(now_s):
                continue
            chance = record.failure_probability(
                now_s, context.typical_latency_s
            )
            if chance < _LEAST_CHANCE:
                sound += 1
            elif now_s - record.estimate.updated_s >= _SOUND_AFTER_S:
                sound += 1
                doubted.append(chance)
        spared = int(self._spare_share * sound)
        if len(doubted) <= spared:
            return _LEAST_CHANCE
        doubted.sort(reverse=True)
        return math.nextafter(doubted[spared], math.inf)
