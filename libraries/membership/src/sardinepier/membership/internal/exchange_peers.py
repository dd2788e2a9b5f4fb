"""Selection of the peers with which this daemon exchanges its table."""

import random
from typing import Final

from sardinepier.membership.internal import knowledge
from sardinepier.wire import messages

_OTHER_ZONE_SHARE: Final = 0.25
"""Share of exchanges with any zone while a daemon catches up. Without them,
300 daemons in 5 zones that started at once had not met after 5 s: each zone
learned of the others through its few links only."""


class ExchangePeers:
    """Selects peers of the own zone where traffic between zones is limited.

    Other zones are then compared by the digests that monitored peers send.
    """

    def __init__(
        self,
        known: knowledge.Knowledge,
        random_source: random.Random,
    ) -> None:
        """Select among the members that are ``known`` at the time."""
        self._known = known
        self._random = random_source

    def first(
        self,
        answering: messages.PeerAddress,
    ) -> messages.PeerAddress | None:
        """Return the peer for the first exchange, ``answering`` if any may."""
        return self.regular() if self._prefers_zone() else answering

    def regular(self) -> messages.PeerAddress | None:
        """Return a peer, or None if no member is known."""
        peers = self._known.table.peers()
        zone = self._known.table.own.identity.zone
        near = [
            peer.identity.peer_address
            for peer in peers
            if peer.identity.zone == zone
        ]
        if not self._prefers_zone() or not near:
            return self._any()
        # All daemons know the few seeds, and at a start hardly anybody else.
        others = [
            address
            for address in near
            if not self._known.contacts.is_seed(address)
        ]
        return self._random.choice(others or near)

    def while_catching_up(self) -> messages.PeerAddress | None:
        """Return a peer, at times of another zone."""
        if self._prefers_zone() and self._random.random() >= _OTHER_ZONE_SHARE:
            return self.regular()
        return self._any()

    def _any(self) -> messages.PeerAddress | None:
        peers = self._known.table.peers()
        if not peers:
            return None
        return self._random.choice(peers).identity.peer_address

    def _prefers_zone(self) -> bool:
        return self._known.options.current.zone_links > 0
