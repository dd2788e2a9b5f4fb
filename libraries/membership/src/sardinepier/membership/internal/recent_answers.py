"""The peers that answered recently, with the time of the probe."""

import collections
from typing import Final

from sardinepier.core import ids

_MAX_ANSWERS: Final = 16


class RecentAnswers:
    """The most recent answers to probes.

    The time of the probe counts, not that of the answer: an answer that waited
    in a buffer while this process was paused is no evidence of a present
    connection.
    """

    def __init__(self) -> None:
        """Start with no answer."""
        self._answers: collections.deque[tuple[ids.InstanceId, float]] = (
            collections.deque(maxlen=_MAX_ANSWERS)
        )

    def add(self, instance_id: ids.InstanceId, requested_at_s: float) -> None:
        """Record an answer to a probe sent at ``requested_at_s``."""
        self._answers.append((instance_id, requested_at_s))

    def answered_since(self, moment_s: float) -> int:
        """Return how many peers answered probes sent after ``moment_s``."""
        peers = {
            instance_id
            for instance_id, requested_at_s in self._answers
            if requested_at_s > moment_s
        }
        return len(peers)
