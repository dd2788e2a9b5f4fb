"""Whether the daemon at a peer address is in another zone."""

from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.membership import view
from sardinepier.wire import messages

_REBUILD_INTERVAL_S: Final = 0.2
"""Shortest interval between two rebuilds of the table of addresses. While a fleet
starts, the view changes with almost every message."""


_MAX_KEPT: Final = 4096
"""Addresses of former members that are kept: as many as a view has members."""


class PeerZones:
    """Looks up the zones of peer addresses in the membership view.

    For example ``hooks.NetworkHooks(crosses_zones=zones.crosses_zones)``.
    """

    def __init__(self, fleet: view.View, clock: clocks.Clock) -> None:
        """Use ``fleet``, which may not know any peer yet."""
        self._fleet = fleet
        self._clock = clock
        self._crossings: dict[messages.PeerAddress, bool] = {}
        self._version = fleet.version - 1
        self._rebuild_at_s = clock.monotonic_s()

    def crosses_zones(self, peer: messages.PeerAddress) -> bool | None:
        """Return whether ``peer`` is in another zone, None if unknown.

        A member that died recently keeps its zone.
        """
        if self._version != self._fleet.version:
            self._rebuild()
        return self._crossings.get(peer)

    def _rebuild(self) -> None:
        now_s = self._clock.monotonic_s()
        if now_s < self._rebuild_at_s:
            return
        self._rebuild_at_s = now_s + _REBUILD_INTERVAL_S
        self._version = self._fleet.version
        own_zone = self._fleet.own.zone
        # Messages are still sent to members that have just died.
        kept = self._crossings if len(self._crossings) < _MAX_KEPT else {}
        self._crossings = kept | {
            member.peer_address: member.zone != own_zone
            for member in self._fleet.members()
        }
