"""Decides when to compare with a peer, to avoid repeated requests."""

import dataclasses
import enum
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.membership import marks
from sardinepier.wire import messages

_MAX_PEERS: Final = 256
_ACTION_INTERVAL_S: Final = 1.0
_SETTLED_INTERVAL_S: Final = 30.0


class PeerAction(enum.Enum):
    """What to do about a peer whose mark differs from the own mark."""

    NOTHING = 'nothing'
    SEND_MARK = 'tell'
    """Send the own mark: the peer is behind and will request the table."""

    REQUEST_TABLE = 'ask'
    """Request the revision table of the peer."""


@dataclasses.dataclass(slots=True)
class _Comparison:
    peer_mark: marks.ConfigurationMark
    own_mark: marks.ConfigurationMark
    send_mark_next: bool
    next_action_s: float


class PeerTable:
    """Stores the last pair of differing marks of each peer, up to a limit."""

    def __init__(self, clock: clocks.Clock) -> None:
        """Start without any peer."""
        self._clock = clock
        self._comparisons: dict[messages.PeerAddress, _Comparison] = {}

    def next_action(
        self,
        peer: messages.PeerAddress,
        peer_mark: marks.ConfigurationMark,
        own_mark: marks.ConfigurationMark,
    ) -> PeerAction:
        """Return what to do after ``peer`` reported the mark ``peer_mark``.

        A peer with an older newest revision is first sent the own mark. Its
        table is requested next, as it may still have a file missing here.
        """
        if peer_mark == own_mark:
            self._comparisons.pop(peer, None)
            return PeerAction.NOTHING
        comparison = self._find_or_add(peer, peer_mark, own_mark)
        now_s = self._clock.monotonic_s()
        if now_s < comparison.next_action_s:
            return PeerAction.NOTHING
        comparison.next_action_s = now_s + _ACTION_INTERVAL_S
        send_mark = comparison.send_mark_next
        is_behind = peer_mark.newest_revision < own_mark.newest_revision
        comparison.send_mark_next = is_behind and not send_mark
        return PeerAction.SEND_MARK if send_mark else PeerAction.REQUEST_TABLE

    def settle(
        self,
        peer: messages.PeerAddress,
        peer_mark: marks.ConfigurationMark,
        own_mark: marks.ConfigurationMark,
    ) -> None:
        """Record that ``peer`` has nothing that is missing here."""
        comparison = self._find_or_add(peer, peer_mark, own_mark)
        comparison.next_action_s = (
            self._clock.monotonic_s() + _SETTLED_INTERVAL_S
        )

    def _find_or_add(
        self,
        peer: messages.PeerAddress,
        peer_mark: marks.ConfigurationMark,
        own_mark: marks.ConfigurationMark,
    ) -> _Comparison:
        known = self._comparisons.get(peer)
        if known and (known.peer_mark, known.own_mark) == (peer_mark, own_mark):
            return known
        added = _Comparison(
            peer_mark,
            own_mark,
            send_mark_next=peer_mark.newest_revision < own_mark.newest_revision,
            next_action_s=self._clock.monotonic_s(),
        )
        self._comparisons.pop(peer, None)
        if len(self._comparisons) >= _MAX_PEERS:
            self._comparisons.pop(next(iter(self._comparisons)))
        self._comparisons[peer] = added
        return added
