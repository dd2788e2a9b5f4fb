"""When to compare with which peer, so that no question is asked twice."""

import dataclasses
import enum
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.membership import marks
from sardinepier.wire import messages

_MOST_PEERS: Final = 256
_ACT_AGAIN_S: Final = 1.0
_SETTLED_S: Final = 30.0


class PeerAction(enum.Enum):
    """What to do about a peer whose mark differs."""

    NOTHING = 'nothing'
    SEND_MARK = 'tell'
    """Send it our mark: it is behind and will ask."""

    REQUEST_TABLE = 'ask'
    """Ask it for its revisions."""


@dataclasses.dataclass(slots=True)
class _Comparison:
    theirs: marks.ConfigurationMark
    ours: marks.ConfigurationMark
    tell_next: bool
    next_action_s: float


class PeerTable:
    """Remembers the last pair of differing marks for each of some peers."""

    def __init__(self, clock: clocks.Clock) -> None:
        """Begin with no peer."""
        self._clock = clock
        self._comparisons: dict[messages.PeerAddress, _Comparison] = {}

    def next_action(
        self,
        peer: messages.PeerAddress,
        theirs: marks.ConfigurationMark,
        ours: marks.ConfigurationMark,
    ) -> PeerAction:
        """Return what to do now that ``peer`` showed ``theirs``.

        A peer with an older newest revision is told first and asked later:
        it may still hold a file that is missing here.
        """
        if theirs == ours:
            self._comparisons.pop(peer, None)
            return PeerAction.NOTHING
        comparison = self._compare(peer, theirs, ours)
        now_s = self._clock.monotonic_s()
        if now_s < comparison.next_action_s:
            return PeerAction.NOTHING
        comparison.next_action_s = now_s + _ACT_AGAIN_S
        tell = comparison.tell_next
        is_behind = theirs.newest_revision < ours.newest_revision
        comparison.tell_next = is_behind and not tell
        return PeerAction.SEND_MARK if tell else PeerAction.REQUEST_TABLE

    def settle(
        self,
        peer: messages.PeerAddress,
        theirs: marks.ConfigurationMark,
        ours: marks.ConfigurationMark,
    ) -> None:
        """Note that ``peer`` has nothing that is missing here."""
        comparison = self._compare(peer, theirs, ours)
        comparison.next_action_s = self._clock.monotonic_s() + _SETTLED_S

    def _compare(
        self,
        peer: messages.PeerAddress,
        theirs: marks.ConfigurationMark,
        ours: marks.ConfigurationMark,
    ) -> _Comparison:
        known = self._comparisons.get(peer)
        if known and (known.theirs, known.ours) == (theirs, ours):
            return known
        fresh = _Comparison(
            theirs,
            ours,
            tell_next=theirs.newest_revision < ours.newest_revision,
            next_action_s=self._clock.monotonic_s(),
        )
        self._comparisons.pop(peer, None)
        if len(self._comparisons) >= _MOST_PEERS:
            self._comparisons.pop(next(iter(self._comparisons)))
        self._comparisons[peer] = fresh
        return fresh
