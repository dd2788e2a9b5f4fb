"""How much of a zone's traffic one instance can carry, from its capacity."""

import math
from typing import Final

from sardinepier.membership import capacity as capacities

_REQUESTS_A_MILLI: Final = 0.22
"""Requests a second for each thousandth of a core. Measured, a carrier of less
than half a core serves a hundred without delay, and no more when it gets
twice as many."""

_LINK_SHARE: Final = 0.5
"""Part of a link that traffic may take on average: answers come in clumps, and
at three quarters a packet already waits for three others."""

_USUAL_KBIT: Final = 80.0
"""Kilobits that a request and its answer take together, for the order of
instances alone, which has to be the same everywhere: ten kilobytes."""


def requests_per_s(capacity: capacities.Capacity) -> float:
    """Return how many requests a second the processor bears."""
    return capacity.processor_millis * _REQUESTS_A_MILLI


def kbit_per_s(capacity: capacities.Capacity) -> float:
    """Return how much traffic the link bears, each way."""
    return capacity.link_kbit_per_s * _LINK_SHARE


def rank(capacity: capacities.Capacity) -> int:
    """Return a number that grows by one with each doubling of the strength.

    What binds first counts. Small differences don't: the order among equals
    is meant to stay when one of them is replaced.
    """
    by_link = kbit_per_s(capacity) / _USUAL_KBIT
    return math.floor(math.log2(min(requests_per_s(capacity), by_link)))
