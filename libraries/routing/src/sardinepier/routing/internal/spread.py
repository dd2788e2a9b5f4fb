"""Spreads the return of refused callers over time."""

import random
from typing import Final

_LEAST_S: Final = 0.05
_SPREAD: Final = 1.0


def retry_after_s(wait_s: float, random_source: random.Random) -> float:
    """Return ``wait_s`` lengthened at random to at most its double.

    It is never shorter than the wait, because a caller that returns too early
    is only refused again, and never 0, because callers refused together would
    then return together. For example a wait of 2 s becomes 2 s to 4 s.
    """
    least_s = max(wait_s, _LEAST_S)
    return least_s * (1 + _SPREAD * random_source.random())
