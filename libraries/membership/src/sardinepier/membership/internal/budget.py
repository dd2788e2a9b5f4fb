"""How much one interval may send, whatever arrives or goes wrong."""

from typing import Final

_ACKS: Final = 32
_RELAYS: Final = 16


class TickBudget:
    """Counts down within an interval and starts anew with the next.

    Without it a daemon that wakes from a pause answers every probe that
    waited in its buffers, and a seed answers the whole fleet at once.
    """

    def __init__(self, updates_per_tick: int) -> None:
        """Allow that much news an interval, in updates over all messages."""
        self._updates_per_tick = updates_per_tick
        self.renew()

    def renew(self) -> None:
        """Start the next interval."""
        self._acks = _ACKS
        self._relays = _RELAYS
        self._updates = self._updates_per_tick

    def take_ack(self) -> bool:
        """Tell whether one more probe may be answered."""
        self._acks -= 1
        return self._acks >= 0

    def take_relay(self) -> bool:
        """Tell whether one more probe may be sent on behalf of a peer."""
        self._relays -= 1
        return self._relays >= 0

    def take_updates(self, wanted: int) -> int:
        """Return how many of the ``wanted`` updates may go out."""
        allowed = min(wanted, self._updates)
        self._updates -= allowed
        return allowed
