"""What a request wants of its target, and how much less it takes in time."""

import dataclasses
from collections.abc import Collection
from typing import Final

from sardinepier.core import ids

_TOLERANCE: Final = 0.06
"""Additional chance of failure that is accepted without any wait: a slot of
the best target comes free within a tenth of a second."""

_LEAST_PATIENCE_S: Final = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptRequirements:
    """What a request wants of its target.

    ``tried`` had it already. It is worth a wait until ``prefer_best_until_s``,
    counted from ``since_s``, to get a target that is surer than those with a
    free slot. ``is_final_attempt`` says that a failure would be final: this attempt
    can't be followed by another one elsewhere.
    """

    tried: Collection[ids.TargetId]
    body_bytes: int
    since_s: float
    prefer_best_until_s: float
    is_final_attempt: bool = False

    def tolerance(self, now_s: float) -> float:
        """Return by how much the target may be worse than the best one."""
        patience_s = max(
            _LEAST_PATIENCE_S, self.prefer_best_until_s - self.since_s
        )
        waited = (now_s - self.since_s) / patience_s
        return _TOLERANCE + max(0.0, waited)
