"""Rate limits for outgoing messages and entries, independent of the load."""

import math
from typing import Final

from sardinepier.core import clock
from sardinepier.membership.internal import current_options

_ACKS_PER_S: Final = 96
_INDIRECT_PROBES_PER_S: Final = 32
_ACK_BURST_S: Final = 0.25
_DEFAULT_BURST_S: Final = 0.5


class LeakyBucket:
    """A leaky bucket: a rate with a bound on bursts.

    It drains with time and not per tick of this daemon, because peers may
    tick far more often while a change of the interval is propagating.
    """

    def __init__(self, burst_s: float, time_source: clock.Clock) -> None:
        """Start empty; ``burst_s`` seconds of the rate may go out at once."""
        self._burst_s = burst_s
        self._clock = time_source
        self._updated_s = time_source.monotonic_s()
        self._level = 0.0

    def available(self, per_s: float) -> int:
        """Return how many units may be taken now."""
        now_s = self._clock.monotonic_s()
        drained = (now_s - self._updated_s) * per_s
        self._level = max(self._level - drained, 0)
        self._updated_s = now_s
        return max(math.floor(per_s * self._burst_s - self._level), 0)

    def spend(self, count: int) -> None:
        """Record that ``count`` units were taken."""
        self._level += count

    def take(self, wanted: int, per_s: float) -> int:
        """Take up to ``wanted`` units and return how many were available."""
        allowed = min(wanted, self.available(per_s))
        self.spend(allowed)
        return allowed


class Budget:
    """The rate limits of one daemon.

    Without them, a daemon that resumes after a pause would answer every probe
    waiting in its buffers, and a seed would answer the whole fleet at once.
    """

    def __init__(
        self,
        active_options: current_options.CurrentOptions,
        time_source: clock.Clock,
    ) -> None:
        """Start with every limit fully available."""
        self._options = active_options
        self._acks = LeakyBucket(_ACK_BURST_S, time_source)
        self._first_contact_acks = LeakyBucket(_ACK_BURST_S, time_source)
        self._indirect_probes = LeakyBucket(_DEFAULT_BURST_S, time_source)
        self._updates = LeakyBucket(_DEFAULT_BURST_S, time_source)
        self._entries = LeakyBucket(_DEFAULT_BURST_S, time_source)

    def take_ack(self, *, names_this_instance: bool) -> bool:
        """Return whether one more probe may be answered, and count it.

        Probes that name this instance come from its few monitors, but each
        monitor chooses its own rate. Other probes may come from the whole
        fleet and have a separate limit.
        """
        if names_this_instance:
            monitor_count = self._options.current.monitored_peers
            per_s = max(_ACKS_PER_S, monitor_count / _ACK_BURST_S)
            return self._acks.take(1, per_s) > 0
        per_s = self._options.current.first_contact_acks_per_s
        return self._first_contact_acks.take(1, per_s) > 0

    def take_indirect_probe(self) -> bool:
        """Return whether one more probe may be sent for a peer, and count it."""
        return self._indirect_probes.take(1, _INDIRECT_PROBES_PER_S) > 0

    def take_updates(self, wanted: int) -> int:
        """Take up to ``wanted`` updates and return how many may be sent."""
        return self._updates.take(wanted, self._options.current.updates_per_s)

    def available_entries(self) -> int:
        """Return how many table entries may be sent now."""
        return self._entries.available(self._options.current.sync_entries_per_s)

    def spend_entries(self, count: int) -> None:
        """Record that ``count`` table entries are sent."""
        self._entries.spend(count)
