"""What a request requires of its target, and how this is relaxed over time."""

import dataclasses
from collections.abc import Callable, Collection
from typing import Final

from sardinepier.core import ids

_TOLERANCE: Final = 0.06
"""Additional failure probability that is accepted without any wait: a slot of
the best target comes free within a tenth of a second."""

_MIN_WAIT_S: Final = 0.01


def accept() -> None:
    """Do nothing: the targets can be reached."""


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptRequirements:
    """What one attempt of a request requires of its target.

    Targets in ``tried`` had the request already. From ``since_s`` until
    ``prefer_best_until_s`` the request waits for a better target than those
    with a free slot. ``is_final_attempt`` says that no retry may follow, so
    that a failure would be final. A request with a lower ``priority`` is more
    urgent; it may have to leave free slots to more urgent ones of other daemons.
    ``require_path`` raises as soon as the request is not to wait here any more.
    """

    tried: Collection[ids.TargetId]
    body_bytes: int
    since_s: float
    prefer_best_until_s: float
    is_final_attempt: bool = False
    priority: int = 0
    require_path: Callable[[], None] = accept

    def tolerance(self, now_s: float) -> float:
        """Return by how much the target may cost more than the best one."""
        wait_s = max(_MIN_WAIT_S, self.prefer_best_until_s - self.since_s)
        waited_share = (now_s - self.since_s) / wait_s
        return _TOLERANCE + max(0.0, waited_share)
