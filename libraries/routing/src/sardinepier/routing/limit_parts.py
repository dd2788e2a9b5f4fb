"""Which part each daemon has of a limit on the sum of what all send.

Each of those that send to a target has an equal part, or one of them all of it where
parts would be too small to be kept. No message is needed, and the sum holds for any
number of daemons.
"""

from collections.abc import Sequence
from typing import Final

from sardinepier.core import ids, rendezvous

_KEY: Final = 'limit/{0}'

_LEAST_PART_PER_S: Final = 1.0
"""A smaller part is none: whatever its part, a daemon may send a request or two at
once, which add up over many."""


def ranking_key(target_id: ids.TargetId) -> str:
    """Return what daemons are ranked by for the limit of a target."""
    return _KEY.format(target_id)


def part_of(
    own: str,
    senders: Sequence[str],
    target_id: ids.TargetId,
    limit_per_s: float,
) -> float:
    """Return the part, 0 to 1, that ``own`` has among the ``senders``.

    For example each of three daemons has a third of 30 requests a second, and one
    of them all of 2 a second.
    """
    if limit_per_s < _LEAST_PART_PER_S * len(senders):
        senders = rendezvous.top_candidates(ranking_key(target_id), senders, 1)
    return 1 / len(senders) if own in senders else 0.0
