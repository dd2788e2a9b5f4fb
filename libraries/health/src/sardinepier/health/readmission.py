"""Return: how long a target stays out, and how it comes back.

Each ejection has a deadline. When it passes, the target gets single
idempotent requests at a low weight. After a few good ones in a row it is in
service again and its weight grows to the full over the ramp. A bad one
ejects it again for twice as long. The doubling is forgotten step by step
while the target stays in service.
"""

import dataclasses
import random
from typing import Final

from sardinepier.health import options as health_options

TRIAL_WEIGHT: Final = 0.05
LOWEST_RAMP_WEIGHT: Final = 0.1
_MOST_DOUBLINGS: Final = 16
_JITTER: Final = 0.2


@dataclasses.dataclass(slots=True)
class Readmission:
    """Deadlines of one target on its way back."""

    doublings: int = 0
    deadline_s: float = 0.0
    good_trials: int = 0
    ramp_until_s: float = 0.0
    calm_since_s: float = 0.0
    may_follow: bool = True
    """Peers' ejections count again: they ended once since the last own."""

    def eject(
        self,
        now_s: float,
        options: health_options.HealthOptions,
        random_source: random.Random,
    ) -> None:
        """Set the deadline of a new ejection, and double the next one."""
        calm_s = now_s - self.calm_since_s
        forgotten = int(calm_s / options.flap_memory_s)
        self.doublings = max(0, self.doublings - forgotten)
        length_s = min(
            options.ejection_limit_s,
            options.ejection_base_s * 2**self.doublings,
        )
        jitter = 1 + _JITTER * random_source.random()
        self.deadline_s = now_s + length_s * jitter
        self.doublings = min(_MOST_DOUBLINGS, self.doublings + 1)
        self.good_trials = 0

    def restore(
        self,
        now_s: float,
        options: health_options.HealthOptions,
    ) -> None:
        """Start the ramp of a target that is back in service."""
        self.ramp_until_s = now_s + options.ramp_s
        self.calm_since_s = now_s

    def ramp_weight(self, now_s: float, ramp_s: float) -> float:
        """Return the weight on the ramp: from a tenth up to 1."""
        left = (self.ramp_until_s - now_s) / ramp_s
        return min(1.0, max(LOWEST_RAMP_WEIGHT, 1 - left))
