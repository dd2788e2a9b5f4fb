"""Rendezvous hashing: the same choice everywhere, without agreement.

Each candidate gets a score from a hash of the key and its name, and the
highest scores win. When a candidate goes, only the keys it held move.
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
    """Return the ``count`` best candidates for ``key``, best first.

    Two daemons with the same candidates get the same answer. For example
    ``top_candidates('deposits', ('d1', 'd2', 'd3'), 2)`` names two of the three.
    """
    return tuple(
        heapq.nlargest(
            count,
            candidates,
            key=lambda candidate: (score(key, candidate), candidate),
        ),
    )
