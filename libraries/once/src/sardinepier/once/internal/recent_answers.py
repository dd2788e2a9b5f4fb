"""Which requests had a good answer of late."""

from sardinepier.core import clock as clocks


class RecentAnswers:
    """Fingerprints of requests that a target answered well.

    Each is kept for ``keep_s`` at least and twice as long at most, or less
    long where there are more than ``capacity``.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        keep_s: float,
        capacity: int,
    ) -> None:
        """Start without any."""
        self._clock = clock
        self._keep_s = keep_s
        self._capacity = capacity
        self._newer: set[int] = set()
        self._older: set[int] = set()
        self._turn_at_s = clock.monotonic_s() + keep_s

    def note(self, fingerprint: int) -> None:
        """Take in a good answer."""
        self._newer.add(fingerprint)
        if len(self._newer) >= self._capacity:
            self._turn()

    def has(self, fingerprint: int) -> bool:
        """Tell whether the request had a good answer of late."""
        if self._clock.monotonic_s() >= self._turn_at_s:
            self._turn()
        return fingerprint in self._newer or fingerprint in self._older

    def _turn(self) -> None:
        """Forget the older half."""
        self._older = self._newer
        self._newer = set()
        self._turn_at_s = self._clock.monotonic_s() + self._keep_s
