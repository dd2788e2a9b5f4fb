"""Readmission: how long a target stays ejected, and how it returns.

Each ejection has a deadline. After it the target is on trial: it gets single
idempotent requests at a low weight. After a few successful trials in a row it
is back in service, and its weight rises to the full one over the ramp. A
failed trial ejects it again for twice as long. The doublings are removed one
by one while the target stays in service.
"""

import dataclasses
import random
from typing import Final

from sardinepier.health import options as health_options

TRIAL_WEIGHT: Final = 0.05
MIN_RAMP_WEIGHT: Final = 0.1
_MAX_DOUBLINGS: Final = 16
_MAX_JITTER: Final = 0.2


@dataclasses.dataclass(slots=True)
class Readmission:
    """Ejection and readmission state of one target."""

    doublings: int = 0
    deadline_s: float = 0.0
    good_trials: int = 0
    ramp_until_s: float = 0.0
    in_service_since_s: float = 0.0
    may_follow_peers: bool = True
    """Peers' ejections count: they ended once since this daemon's last one."""

    def eject(
        self,
        now_s: float,
        options: health_options.HealthOptions,
        random_source: random.Random,
    ) -> None:
        """Set the deadline of a new ejection and double the next one."""
        in_service_s = now_s - self.in_service_since_s
        expired_doublings = int(in_service_s / options.flap_memory_s)
        self.doublings = max(0, self.doublings - expired_doublings)
        length_s = min(
            options.ejection_limit_s,
            options.ejection_base_s * 2**self.doublings,
        )
        jitter = 1 + _MAX_JITTER * random_source.random()
        self.deadline_s = now_s + length_s * jitter
        self.doublings = min(_MAX_DOUBLINGS, self.doublings + 1)
        self.good_trials = 0

    def start_ramp(
        self,
        now_s: float,
        options: health_options.HealthOptions,
    ) -> None:
        """Start the ramp of a target that is back in service."""
        self.ramp_until_s = now_s + options.ramp_s
        self.in_service_since_s = now_s

    def ramp_weight(self, now_s: float, ramp_s: float) -> float:
        """Return the weight on the ramp, from a tenth up to 1."""
        remaining = (self.ramp_until_s - now_s) / ramp_s
        return min(1.0, max(MIN_RAMP_WEIGHT, 1 - remaining))
