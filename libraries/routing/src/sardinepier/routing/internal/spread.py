"""Random retry times, so that refused callers don't return together."""

import random
from typing import Final

_MIN_S: Final = 0.05
_SPREAD: Final = 1.0


def retry_after_s(wait_s: float, random_source: random.Random) -> float:
    """Return ``wait_s``, lengthened at random to at most twice its value.

    It is never shorter than the wait, because a caller that returns too early
    is refused again, and never 0, because callers refused together would then
    return together. For example, a wait of 2 s becomes 2 s to 4 s.
    """
    min_wait_s = max(wait_s, _MIN_S)
    return min_wait_s * (1 + _SPREAD * random_source.random())
