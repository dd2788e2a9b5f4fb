"""When the other daemons of a fleet told what they let through."""

import math
from collections.abc import Mapping
from typing import Final

from sardinepier.core import ids

_FORGET_S: Final = 30.0
"""How long a daemon that fell silent is taken to go on as before, unless
another one is heard in its place: it may be cut off with its callers."""

_REPLACED_S: Final = 2.0
"""How long after the last news of a daemon another one of its zone has to be
heard to be taken for its successor."""


class PeerLiveness:
    """Knows who told when, and who is gone."""

    def __init__(self) -> None:
        """Start without any."""
        # Those that tell only now and then are never silent: infinity.
        self._heard_s: dict[ids.InstanceId, float] = {}
        self._told_s: dict[ids.InstanceId, float] = {}
        self._zones: dict[ids.InstanceId, ids.ZoneName] = {}

    @property
    def last_seen_s(self) -> Mapping[ids.InstanceId, float]:
        """When each told last; infinity for those that need not go on."""
        return self._heard_s

    def note(
        self,
        source: ids.InstanceId,
        zone: ids.ZoneName,
        now_s: float,
        *,
        sends_regularly: bool,
    ) -> tuple[ids.InstanceId, ...]:
        """Note that ``source`` told now, and return those that are gone."""
        self._told_s[source] = now_s
        self._heard_s[source] = now_s if sends_regularly else math.inf
        self._zones[source] = zone
        gone = tuple(
            other
            for other, told_s in self._told_s.items()
            if now_s - told_s > _FORGET_S
            or (self._zones[other] == zone and now_s - told_s > _REPLACED_S)
        )
        for other in gone:
            del self._told_s[other]
            del self._heard_s[other]
            del self._zones[other]
        return gone
