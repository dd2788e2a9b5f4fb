"""When the other daemons of a fleet last reported their usage."""

import math
from collections.abc import Mapping
from typing import Final

from sardinepier.core import ids

_EXPIRY_S: Final = 30.0
"""A silent daemon counts as gone after this time, or earlier if a successor
reports. It may be cut off together with its callers and still serve them."""

_REPLACED_S: Final = 2.0
"""A silent daemon counts as replaced if another daemon of its zone reports
later than this after its last report."""


class PeerLiveness:
    """Records the reports of other daemons and returns which are gone."""

    def __init__(self) -> None:
        """Start without daemons."""
        # Infinity for a daemon that does not report regularly, so that its
        # silence has no meaning.
        self._last_seen_s: dict[ids.InstanceId, float] = {}
        self._reported_s: dict[ids.InstanceId, float] = {}
        self._zones: dict[ids.InstanceId, ids.ZoneName] = {}

    @property
    def last_seen_s(self) -> Mapping[ids.InstanceId, float]:
        """The last report of each; infinity if it does not report regularly."""
        return self._last_seen_s

    def record(
        self,
        source: ids.InstanceId,
        zone: ids.ZoneName,
        now_s: float,
        *,
        sends_regularly: bool,
    ) -> tuple[ids.InstanceId, ...]:
        """Record a report of ``source``; return the daemons that are gone."""
        self._reported_s[source] = now_s
        self._last_seen_s[source] = now_s if sends_regularly else math.inf
        self._zones[source] = zone
        gone = tuple(
            daemon
            for daemon, reported_s in self._reported_s.items()
            if now_s - reported_s > _EXPIRY_S
            or (
                self._zones[daemon] == zone and now_s - reported_s > _REPLACED_S
            )
        )
        for daemon in gone:
            del self._reported_s[daemon]
            del self._last_seen_s[daemon]
            del self._zones[daemon]
        return gone
