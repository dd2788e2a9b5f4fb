"""Counts what requests that crash targets did, in seconds of the run."""

import collections
from typing import Final

_PROVEN_CRASHES: Final = 3
"""Crashes after which a request counts as proved to crash targets."""

_REACTION_S: Final = 3.0
"""Time after the last of these in which further sends don't count."""


class CrashTally:
    """The sends and crashes of each crashing request, by its fingerprint.

    ``held_back`` counts other requests that were refused because they were
    quarantined.
    """

    def __init__(self) -> None:
        """Start without crashes."""
        self.held_back = 0
        self._sends_s: dict[int, list[float]] = collections.defaultdict(list)
        self._crashes_s: dict[int, list[float]] = collections.defaultdict(list)

    def record_send(self, fingerprint: int, at_s: float) -> None:
        """Record that the request reached a target."""
        self._sends_s[fingerprint].append(at_s)

    def record_crash(self, fingerprint: int, at_s: float) -> None:
        """Record that the request crashed a target."""
        self._crashes_s[fingerprint].append(at_s)

    def max_crashes(self) -> int:
        """Return the most crashes by one request."""
        return max(map(len, self._crashes_s.values()), default=0)

    def crashes(self) -> int:
        """Return the number of all crashes."""
        return sum(map(len, self._crashes_s.values()))

    def max_late_sends(self) -> int:
        """Return the most sends of one request that is proved to crash targets."""
        return max(map(self._late_sends, self._crashes_s), default=0)

    def _late_sends(self, fingerprint: int) -> int:
        crashes_s = self._crashes_s[fingerprint]
        if len(crashes_s) < _PROVEN_CRASHES:
            return 0
        late_s = crashes_s[_PROVEN_CRASHES - 1] + _REACTION_S
        return sum(sent_s > late_s for sent_s in self._sends_s[fingerprint])
