"""Rendezvous hashing: all daemons choose alike without coordination.

The score of a candidate is a hash of the key and its name, and the highest
scores win. When a candidate is removed, only its own keys move.
"""

import heapq
from collections.abc import Iterable

import xxhash


def score(key: str, candidate: str) -> int:
    """Return the 64-bit score of ``candidate`` for ``key``."""
    return int(xxhash.xxh3_64_intdigest(f'{key}\x00{candidate}'.encode()))


def top_candidates(
    key: str, candidates: Iterable[str], count: int
) -> tuple[str, ...]:
    """Return the ``count`` candidates with the highest scores, best first.

    Two daemons with the same candidates get the same result. For example
    ``top_candidates('deposits', ('d1', 'd2', 'd3'), 2)`` returns two of the three.
    """
    return tuple(
        heapq.nlargest(
            count,
            candidates,
            key=lambda candidate: (score(key, candidate), candidate),
        ),
    )
