"""The share that each daemon has of a target's limit on requests per second.

All daemons that send to the target have equal shares. If these would be too
small, one daemon has the whole limit. The daemons exchange no messages for
this, and the sum of the shares is the limit for any number of daemons.
"""

from collections.abc import Sequence
from typing import Final

from sardinepier.core import ids, rendezvous

_KEY: Final = 'limit/{0}'

_MIN_SHARE_PER_S: Final = 1.0
"""Smaller shares are not assigned: each daemon may send one or two requests at
once whatever its share, and over many daemons these would exceed the limit."""


def ranking_key(target_id: ids.TargetId) -> str:
    """Return the key by which daemons are ranked for the limit of a target."""
    return _KEY.format(target_id)


def share_of(
    own: str,
    senders: Sequence[str],
    target_id: ids.TargetId,
    limit_per_s: float,
) -> float:
    """Return the share of the limit, 0 to 1, that ``own`` has among ``senders``.

    For example, of a limit of 30 requests per second each of three daemons has a
    third, and of a limit of 2 per second one of them has everything.
    """
    if limit_per_s < _MIN_SHARE_PER_S * len(senders):
        senders = rendezvous.top_candidates(ranking_key(target_id), senders, 1)
    return 1 / len(senders) if own in senders else 0.0
