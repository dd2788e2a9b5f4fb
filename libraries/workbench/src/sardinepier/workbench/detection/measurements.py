"""Measurements of one run, compared with its actual fault."""

import dataclasses
import math
from collections.abc import Sequence
from typing import Final

from sardinepier.health import evidence
from sardinepier.workbench.detection import scenario

_SLOW_FACTOR: Final = 5.0
_SECONDS_PER_DAY: Final = 86400
_EPISODE_S: Final = 30.0
"""Ejections of a target by several daemons within this time count once."""

_FLOOR_SHARE: Final = 0.5
_GOOD_OUTCOMES: Final = frozenset((evidence.AttemptOutcome.ANSWERED,))


@dataclasses.dataclass(slots=True)
class Requests:
    """Requests that ended in one part of a run."""

    ended: int = 0
    failed: int = 0
    slowed: int = 0


class Measurements:
    """Collects the measurements of one run."""

    def __init__(
        self,
        service: scenario.Service,
        fault: scenario.Fault,
        fault_at_s: float,
    ) -> None:
        """Measure a run with ``fault``, which begins at ``fault_at_s``."""
        self.fault_at_s = fault_at_s
        self.before = Requests()
        self.after = Requests()
        self.refusals = 0
        self.arrivals = 0
        self.false_ejections = 0
        self.cut_avoided = 0
        self.below_floor = 0
        self.ticks = 0
        self.requests_to_faulty_target = 0
        self.trials = 0
        self.last_s = 0.0
        self._service = service
        self._fault = fault
        self._ejected_targets: list[set[int]] = [
            set() for _ in range(service.daemons)
        ]
        self._false_ejection_s: dict[int, float] = {}
        self._last_sent_s = [0.0 for _ in range(service.daemons)]
        self._detected_s = [math.inf for _ in range(service.daemons)]

    def record_arrival(self, now_s: float) -> None:
        """Count a request from a caller."""
        self.arrivals += 1
        self.last_s = now_s

    def record_refusal(self, now_s: float) -> None:
        """Count a request that was refused because all slots were in use."""
        self.refusals += 1

    def record_attempt(
        self, now_s: float, daemon: int, target: int, trial: bool
    ) -> None:
        """Record an attempt at the faulty target; skip all other attempts."""
        if target or now_s < self.fault_at_s:
            return
        if trial:
            self.trials += 1
            return
        self.requests_to_faulty_target += 1
        if math.isinf(self._detected_s[daemon]):
            self._last_sent_s[daemon] = now_s

    def record_end(
        self,
        now_s: float,
        outcome: evidence.AttemptOutcome,
        slowness: float,
    ) -> None:
        """Count a request that took ``slowness`` times its median."""
        period = self.before if now_s < self.fault_at_s else self.after
        period.ended += 1
        period.failed += outcome not in _GOOD_OUTCOMES
        period.slowed += slowness > _SLOW_FACTOR

    def record_weights(
        self,
        now_s: float,
        daemon: int,
        weights: Sequence[float],
    ) -> None:
        """Compare a daemon's weights with the targets' actual state."""
        self.ticks += 1
        ejected = {index for index, weight in enumerate(weights) if not weight}
        floor = _FLOOR_SHARE * self._service.targets
        self.below_floor += len(weights) - len(ejected) < floor
        newly_ejected = ejected - self._ejected_targets[daemon]
        self._ejected_targets[daemon] = ejected
        for target in newly_ejected:
            self._record_ejection(now_s, daemon, target)

    def detection_s(self) -> float:
        """Return the time from the fault to the last attempt at the target.

        Trials do not count. Infinite when a daemon never ejected the target.
        """
        if any(math.isinf(moment_s) for moment_s in self._detected_s):
            return math.inf
        return max(0.0, max(self._last_sent_s) - self.fault_at_s)

    def target_days(self) -> float:
        """Return the healthy time of all targets together, in days."""
        healthy = self._service.targets - self._fault.sick
        return healthy * self.last_s / _SECONDS_PER_DAY

    def _record_ejection(self, now_s: float, daemon: int, target: int) -> None:
        is_faulty = target == 0 and now_s >= self.fault_at_s
        if is_faulty and self._fault.sick:
            self._detected_s[daemon] = min(self._detected_s[daemon], now_s)
        elif is_faulty and daemon < self._fault.cut_daemons:
            self.cut_avoided += 1
        elif now_s - self._false_ejection_s.get(target, -math.inf) > _EPISODE_S:
            self.false_ejections += 1
            self._false_ejection_s[target] = now_s
