"""Which peers answered lately, by the time at which they were asked."""

import collections
from typing import Final

from sardinepier.core import ids

_KEPT: Final = 16


class RecentAnswers:
    """The last answers to probes.

    The time of asking counts: what waited in a buffer while this process was
    paused was heard late and proves nothing.
    """

    def __init__(self) -> None:
        """Start with no answer."""
        self._answers: collections.deque[tuple[ids.InstanceId, float]] = (
            collections.deque(maxlen=_KEPT)
        )

    def add(self, instance_id: ids.InstanceId, requested_at_s: float) -> None:
        """Note an answer to what was asked at ``requested_at_s``."""
        self._answers.append((instance_id, requested_at_s))

    def answered_since(self, moment_s: float) -> int:
        """Return how many peers answered what was asked after that."""
        peers = {
            instance_id
            for instance_id, requested_at_s in self._answers
            if requested_at_s > moment_s
        }
        return len(peers)
