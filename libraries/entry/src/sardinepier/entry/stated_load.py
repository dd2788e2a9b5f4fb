"""The load that a target stated with its newest answer."""

import dataclasses
import math
from typing import Final

_MAX_AGE_S: Final = 0.4
"""How long the load that a target stated is used."""

_ARRIVED_S: Final = 0.03
"""Age from which a request has reached its target and is part of its load."""


@dataclasses.dataclass(slots=True)
class PeerReports:
    """Until when the newest report of any other daemon is valid."""

    valid_until_s: float = -math.inf


@dataclasses.dataclass(slots=True)
class LoadMeaning:
    """What the load that the targets of one service state includes.

    ``is_answered_counted`` says whether that is the request that is answered
    with it. One target that states less than this daemon's requests shows that
    it is not.
    """

    reports: PeerReports = dataclasses.field(default_factory=PeerReports)
    is_answered_counted: bool = True


class StatedLoad:
    """The requests of other daemons at a target, by the load that it stated."""

    __slots__ = ('stated_s', '_meaning', '_others', '_uncounted')

    def __init__(self, meaning: LoadMeaning) -> None:
        """Start without a stated load."""
        self.stated_s = -math.inf
        self._meaning = meaning
        self._others = 0
        self._uncounted = 0

    def record(
        self,
        load: int,
        own_started_s: list[float],
        now_s: float,
        *,
        is_failure: bool,
    ) -> None:
        """Record the ``load`` that the target stated with an answer.

        ``own_started_s`` is when this daemon's requests there began, including
        the answered one. A refusal or failure may not have been part of the
        load even where good answers are.
        """
        own = len(own_started_s)
        have_arrived = max(own_started_s, default=now_s) < now_s - _ARRIVED_S
        if load < own and have_arrived and not is_failure:
            self._meaning.is_answered_counted = False
        self.stated_s = now_s
        self._others = load - own
        self._uncounted = int(
            is_failure or not self._meaning.is_answered_counted
        )

    def others(self, now_s: float) -> int:
        """Return the requests of other daemons, 0 if the load is too old.

        While there are reports of other daemons, an answered request that the
        load does not include is no longer deducted from it. Otherwise each
        answer of a full target would show a free slot more than there is.
        """
        if now_s >= self.stated_s + _MAX_AGE_S:
            return 0
        others = self._others
        if now_s < self._meaning.reports.valid_until_s:
            others += self._uncounted
        return max(0, others)
