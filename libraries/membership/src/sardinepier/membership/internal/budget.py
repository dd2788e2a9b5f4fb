"""How much one second may send, whatever arrives or goes wrong."""

import math
from typing import Final

from sardinepier.core import clock
from sardinepier.membership.internal import current_options

_ACKS_PER_S: Final = 96
_RELAYS_PER_S: Final = 32
_QUARTER_S: Final = 0.25
_HALF_S: Final = 0.5


class Allowance:
    """A rate with a bound on bursts, on the clock.

    Time counts and not this daemon's ticks: its peers may tick far more
    often while a change of the interval is on its way.
    """

    def __init__(self, burst_s: float, time_source: clock.Clock) -> None:
        """Allow at once what the rate gives in ``burst_s``."""
        self._burst_s = burst_s
        self._clock = time_source
        self._seen_s = time_source.monotonic_s()
        self._level = 0.0

    def left(self, per_s: float) -> int:
        """Return how much may be taken now."""
        now_s = self._clock.monotonic_s()
        drained = (now_s - self._seen_s) * per_s
        self._level = max(self._level - drained, 0)
        self._seen_s = now_s
        return max(math.floor(per_s * self._burst_s - self._level), 0)

    def spend(self, count: int) -> None:
        """Count what was taken."""
        self._level += count

    def take(self, wanted: int, per_s: float) -> int:
        """Return how many of the ``wanted`` fit, and count them."""
        allowed = min(wanted, self.left(per_s))
        self.spend(allowed)
        return allowed


class Budget:
    """The allowances of one daemon.

    Without them a daemon that wakes from a pause answers every probe that
    waited in its buffers, and a seed answers the whole fleet at once.
    """

    def __init__(
        self,
        bounds: current_options.CurrentOptions,
        time_source: clock.Clock,
    ) -> None:
        """Start with all of it."""
        self._bounds = bounds
        self._acks = Allowance(_QUARTER_S, time_source)
        self._greetings = Allowance(_QUARTER_S, time_source)
        self._relays = Allowance(_HALF_S, time_source)
        self._updates = Allowance(_HALF_S, time_source)
        self._entries = Allowance(_HALF_S, time_source)

    def take_ack(self, *, to_monitor: bool) -> bool:
        """Tell whether one more probe may be answered.

        Those that probe this very instance are few, but their rate is
        theirs to choose. The others may be the whole fleet.
        """
        if to_monitor:
            monitors = self._bounds.current.monitored_peers
            per_s = max(_ACKS_PER_S, monitors / _QUARTER_S)
            return self._acks.take(1, per_s) > 0
        per_s = self._bounds.current.greetings_per_s
        return self._greetings.take(1, per_s) > 0

    def take_relay(self) -> bool:
        """Tell whether one more probe may be sent on behalf of a peer."""
        return self._relays.take(1, _RELAYS_PER_S) > 0

    def take_updates(self, wanted: int) -> int:
        """Return how many of the ``wanted`` updates may go out."""
        return self._updates.take(wanted, self._bounds.current.updates_per_s)

    def entries_left(self) -> int:
        """Return how many entries of the table may still go out."""
        return self._entries.left(self._bounds.current.sync_entries_per_s)

    def spend_entries(self, count: int) -> None:
        """Count entries that go out."""
        self._entries.spend(count)
