"""Waits that grow while something keeps failing, and differ everywhere."""

import random
from typing import Final

_LEAST_SHARE: Final = 0.5
_MOST_SHARE: Final = 1.5


def jitter(wait_s: float, random_source: random.Random) -> float:
    """Return between half and one and a half times ``wait_s``."""
    return wait_s * random_source.uniform(_LEAST_SHARE, _MOST_SHARE)


class Backoff:
    """Doubles a wait from failure to failure up to a bound."""

    def __init__(
        self,
        min_s: float,
        max_s: float,
        random_source: random.Random,
    ) -> None:
        """Begin with ``min_s`` and never go beyond ``max_s``."""
        self._min_s = min_s
        self._max_s = max_s
        self._random = random_source
        self._next_s = min_s

    def failed(self) -> float:
        """Return for how long to wait now, with jitter."""
        wait_s = jitter(self._next_s, self._random)
        self._next_s = min(self._max_s, self._next_s * 2)
        return wait_s

    def succeeded(self) -> None:
        """Begin again with the least wait."""
        self._next_s = self._min_s
