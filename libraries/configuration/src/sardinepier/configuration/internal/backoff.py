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
        least_s: float,
        most_s: float,
        random_source: random.Random,
    ) -> None:
        """Begin with ``least_s`` and never go beyond ``most_s``."""
        self._least_s = least_s
        self._most_s = most_s
        self._random = random_source
        self._next_s = least_s

    def failed(self) -> float:
        """Return for how long to wait now, with jitter."""
        wait_s = jitter(self._next_s, self._random)
        self._next_s = min(self._most_s, self._next_s * 2)
        return wait_s

    def succeeded(self) -> None:
        """Begin again with the least wait."""
        self._next_s = self._least_s
