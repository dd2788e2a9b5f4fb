"""Requests that recently got a good answer."""

from sardinepier.core import clock as clocks


class RecentAnswers:
    """Fingerprints of requests that recently got a good answer.

    They are kept in two generations: each fingerprint for at least ``keep_s``
    and at most twice as long, or for less if a generation reaches
    ``capacity`` fingerprints.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        keep_s: float,
        capacity: int,
    ) -> None:
        """Start without fingerprints."""
        self._clock = clock
        self._keep_s = keep_s
        self._capacity = capacity
        self._newer: set[int] = set()
        self._older: set[int] = set()
        self._rotate_at_s = clock.monotonic_s() + keep_s

    def record(self, fingerprint: int) -> None:
        """Record a good answer to the request."""
        self._newer.add(fingerprint)
        if len(self._newer) >= self._capacity:
            self._rotate()

    def has(self, fingerprint: int) -> bool:
        """Return whether the request recently got a good answer."""
        if self._clock.monotonic_s() >= self._rotate_at_s:
            self._rotate()
        return fingerprint in self._newer or fingerprint in self._older

    def _rotate(self) -> None:
        """Drop the older generation and start a new one."""
        self._older = self._newer
        self._newer = set()
        self._rotate_at_s = self._clock.monotonic_s() + self._keep_s
