"""Estimate of the traffic that an instance can carry, from its capacity."""

import math
from typing import Final

from sardinepier.membership import capacity as capacities

_REQUESTS_PER_MILLI: Final = 0.22
"""Requests a second for each thousandth of a core. A carrier with less than
half a core serves a hundred without delay, and no more when it gets twice as
many."""

_MAX_LINK_UTILIZATION: Final = 0.5
"""Average link utilization at most: responses come in bursts, and at three
quarters a packet already waits for three others."""

_TYPICAL_REQUEST_KBIT: Final = 80.0
"""Kilobits of a typical request and its response, ten kilobytes. The order of
instances uses a constant, as it has to be the same everywhere."""


def requests_per_s(capacity: capacities.Capacity) -> float:
    """Return how many requests a second the processor can handle."""
    return capacity.processor_millis * _REQUESTS_PER_MILLI


def kbit_per_s(capacity: capacities.Capacity) -> float:
    """Return how much traffic the link can carry, each way."""
    return capacity.link_kbit_per_s * _MAX_LINK_UTILIZATION


def rank(capacity: capacities.Capacity) -> int:
    """Return a number that grows by one with each doubling of the strength.

    The scarcer of processor and link counts. Small differences don't, so that
    the order of similar instances stays when one of them is replaced.
    """
    by_link = kbit_per_s(capacity) / _TYPICAL_REQUEST_KBIT
    return math.floor(math.log2(min(requests_per_s(capacity), by_link)))
