"""Exponential backoff with jitter."""

import random
from typing import Final

_MIN_JITTER_FACTOR: Final = 0.5
_MAX_JITTER_FACTOR: Final = 1.5


def jitter(wait_s: float, random_source: random.Random) -> float:
    """Return a random wait between 0.5 and 1.5 times ``wait_s``."""
    return wait_s * random_source.uniform(
        _MIN_JITTER_FACTOR, _MAX_JITTER_FACTOR
    )


class Backoff:
    """Doubles the wait after each failure, up to a maximum."""

    def __init__(
        self,
        min_s: float,
        max_s: float,
        random_source: random.Random,
    ) -> None:
        """Start at ``min_s``; ``max_s`` bounds the wait before jitter."""
        self._min_s = min_s
        self._max_s = max_s
        self._random = random_source
        self._wait_s = min_s

    def next_wait_s(self) -> float:
        """Return the wait after a failure, with jitter, and double the next."""
        wait_s = jitter(self._wait_s, self._random)
        self._wait_s = min(self._max_s, self._wait_s * 2)
        return wait_s

    def reset(self) -> None:
        """Restart at the minimum wait after a success."""
        self._wait_s = self._min_s
