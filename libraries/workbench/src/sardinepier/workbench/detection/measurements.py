"""What is measured in one run, against the ground truth."""

import dataclasses
import math
from collections.abc import Sequence
from typing import Final

from sardinepier.health import evidence
from sardinepier.workbench.detection import scenario

_SLOW_FACTOR: Final = 5.0
_SECONDS_PER_DAY: Final = 86400
_EPISODE_S: Final = 30.0
"""Daemons that eject a target within this time count as one ejection."""

_FLOOR_SHARE: Final = 0.5
_GOOD_ENDS: Final = frozenset((evidence.AttemptOutcome.ANSWERED,))


@dataclasses.dataclass(slots=True)
class Requests:
    """Requests that ended in one part of a run."""

    ended: int = 0
    failed: int = 0
    slowed: int = 0


class Measurements:
    """Collects a run's measurements."""

    def __init__(
        self,
        service: scenario.Service,
        fault: scenario.Fault,
        fault_at_s: float,
    ) -> None:
        """Measure against ``fault``, which begins at ``fault_at_s``."""
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
        self._out: list[set[int]] = [set() for _ in range(service.daemons)]
        self._false_since: dict[int, float] = {}
        self._last_sent_s = [0.0 for _ in range(service.daemons)]
        self._detected_s = [math.inf for _ in range(service.daemons)]

    def record_arrival(self, now_s: float) -> None:
        """Count a request that came in."""
        self.arrivals += 1
        self.last_s = now_s

    def record_refusal(self, now_s: float) -> None:
        """Count a request refused for want of slots."""
        self.refusals += 1

    def record_attempt(
        self, now_s: float, daemon: int, target: int, trial: bool
    ) -> None:
        """Note new work for a target."""
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
        end: evidence.AttemptOutcome,
        slowness: float,
    ) -> None:
        """Count a request that ended, ``slowness`` times its median late."""
        part = self.before if now_s < self.fault_at_s else self.after
        part.ended += 1
        part.failed += end not in _GOOD_ENDS
        part.slowed += slowness > _SLOW_FACTOR

    def record_weights(
        self,
        now_s: float,
        daemon: int,
        weights: Sequence[float],
    ) -> None:
        """Compare a daemon's weights with the ground truth."""
        self.ticks += 1
        out = {place for place, weight in enumerate(weights) if not weight}
        floor = _FLOOR_SHARE * self._service.targets
        self.below_floor += len(weights) - len(out) < floor
        came_out = out - self._out[daemon]
        self._out[daemon] = out
        for place in came_out:
            self._ejected(now_s, daemon, place)

    def detection_s(self) -> float:
        """Return the time from the fault to the last new work.

        Trials do not count. Infinite when a daemon never took it out.
        """
        if any(math.isinf(moment_s) for moment_s in self._detected_s):
            return math.inf
        return max(0.0, max(self._last_sent_s) - self.fault_at_s)

    def target_days(self) -> float:
        """Return how much healthy time was seen, in days of one target."""
        healthy = self._service.targets - self._fault.sick
        return healthy * self.last_s / _SECONDS_PER_DAY

    def _ejected(self, now_s: float, daemon: int, place: int) -> None:
        struck = place == 0 and now_s >= self.fault_at_s
        if struck and self._fault.sick:
            self._detected_s[daemon] = min(self._detected_s[daemon], now_s)
        elif struck and daemon < self._fault.cut_daemons:
            self.cut_avoided += 1
        elif now_s - self._false_since.get(place, -math.inf) > _EPISODE_S:
            self.false_ejections += 1
            self._false_since[place] = now_s
