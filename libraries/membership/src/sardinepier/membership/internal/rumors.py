"""News that rides on heartbeats, each a bounded number of times."""

import itertools
import math
from typing import Final

from sardinepier.core import ids
from sardinepier.membership.internal import current_options

_REPEATS_PER_LOG: Final = 3
_REPEATS_PER_HEARD: Final = 6


class Rumors:
    """Names of members whose record is news, in the order of sending.

    Only names are queued, so that what is sent is always the newest record.
    """

    def __init__(self, bounds: current_options.CurrentOptions) -> None:
        """Start without news."""
        self._bounds = bounds
        self._sent: dict[ids.InstanceId, int] = {}

    def __len__(self) -> int:
        """Return how many members are news."""
        return len(self._sent)

    def add(self, instance_id: ids.InstanceId) -> None:
        """Make a record news, from the start if it was news already."""
        self._sent[instance_id] = 0

    def add_first(self, instance_id: ids.InstanceId) -> None:
        """Make a record news that goes out before all others."""
        self._sent.pop(instance_id, None)
        self._sent = {instance_id: 0, **self._sent}

    def record_duplicate(self, instance_id: ids.InstanceId) -> None:
        """Count a peer that sent the same news as one it need not reach.

        When a few peers know it already, most do, and to send it on would
        only hold up what is newer.
        """
        sent = self._sent.get(instance_id)
        if sent is not None:
            self._sent[instance_id] = sent + _REPEATS_PER_HEARD

    def drop(self, instance_id: ids.InstanceId) -> None:
        """Stop spreading a record."""
        self._sent.pop(instance_id, None)

    def next_names(self, count: int, member_count: int) -> list[ids.InstanceId]:
        """Return at most ``count`` names for one message.

        They return to the end of the queue until each has gone out often
        enough to reach ``member_count`` members.
        """
        if not self._sent:
            return []
        limit = self.limit(member_count)
        taken = list(itertools.islice(self._sent, count))
        for instance_id in taken:
            sent = self._sent.pop(instance_id) + 1
            if sent < limit:
                self._sent[instance_id] = sent
        return taken

    def limit(self, member_count: int) -> int:
        """Return how often one piece of news is sent."""
        spread = _REPEATS_PER_LOG * math.log2(member_count + 1)
        # Heartbeats go to the monitored peers, acks to those that monitor.
        neighbours = 2 * self._bounds.current.monitored_peers
        return max(neighbours, math.ceil(spread))
