"""The queue of rumors: member changes that heartbeats still spread."""

import itertools
import math
from typing import Final

from sardinepier.core import ids
from sardinepier.membership.internal import current_options

_SENDS_PER_LOG2_MEMBERS: Final = 3
_SENDS_PER_DUPLICATE: Final = 6


class Rumors:
    """Ids of members whose record is spread, in the order of sending.

    Each rumor is sent a bounded number of times. Only ids are queued, so that
    the newest record is sent.
    """

    def __init__(self, active_options: current_options.CurrentOptions) -> None:
        """Start with no rumors."""
        self._options = active_options
        self._sent: dict[ids.InstanceId, int] = {}

    def __len__(self) -> int:
        """Return the number of queued rumors."""
        return len(self._sent)

    def add(self, instance_id: ids.InstanceId) -> None:
        """Queue a rumor; one that is queued already starts over."""
        self._sent[instance_id] = 0

    def add_first(self, instance_id: ids.InstanceId) -> None:
        """Queue a rumor before all others."""
        self._sent.pop(instance_id, None)
        self._sent = {instance_id: 0, **self._sent}

    def record_duplicate(self, instance_id: ids.InstanceId) -> None:
        """Count a rumor that a peer sent as well as several sends of it.

        When several peers know a rumor, most daemons do. Sending it further
        would only delay newer rumors.
        """
        sent = self._sent.get(instance_id)
        if sent is not None:
            self._sent[instance_id] = sent + _SENDS_PER_DUPLICATE

    def drop(self, instance_id: ids.InstanceId) -> None:
        """Remove a rumor."""
        self._sent.pop(instance_id, None)

    def next_names(self, count: int, member_count: int) -> list[ids.InstanceId]:
        """Return at most ``count`` instance ids for one message.

        Each goes back to the end of the queue until it has been sent often
        enough to reach ``member_count`` members.
        """
        if not self._sent:
            return []
        limit = self.limit(member_count)
        selected = list(itertools.islice(self._sent, count))
        for instance_id in selected:
            sent = self._sent.pop(instance_id) + 1
            if sent < limit:
                self._sent[instance_id] = sent
        return selected

    def limit(self, member_count: int) -> int:
        """Return how many times a rumor is sent."""
        log_limit = _SENDS_PER_LOG2_MEMBERS * math.log2(member_count + 1)
        # Heartbeats go to the monitored peers, acks to the monitors.
        neighbour_count = 2 * self._options.current.monitored_peers
        return max(neighbour_count, math.ceil(log_limit))
