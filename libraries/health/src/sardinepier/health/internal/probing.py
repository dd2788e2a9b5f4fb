"""Schedules the probes of targets."""

import random
from typing import Final

from sardinepier.core import ids
from sardinepier.health import options as health_options
from sardinepier.health import targets
from sardinepier.health.internal import target_list, tracked_target

_States = targets.TargetState
_MIN_JITTER: Final = 0.8
_MAX_JITTER: Final = 1.2


class ProbeSchedule:
    """Schedules regular probes, more frequent ones for suspected targets."""

    def __init__(
        self,
        listed: target_list.TargetList,
        options: health_options.HealthOptions,
        random_source: random.Random,
    ) -> None:
        """Probe the targets of ``listed``."""
        self.options = options
        self._listed = listed
        self._random = random_source

    def due(self, now_s: float) -> tuple[ids.TargetId, ...]:
        """Return the targets with a due probe and schedule their next one."""
        due = []
        for target in self._listed:
            if now_s < self._due_s(target) or target.state is _States.LEAVING:
                continue
            jitter = self._random.uniform(_MIN_JITTER, _MAX_JITTER)
            target.probing.due_s = (
                now_s + self.options.probe_interval_s * jitter
            )
            target.probing.suspect_due_s = (
                now_s + self.options.suspect_probe_interval_s * jitter
            )
            due.append(target.target_id)
        return tuple(due)

    def _due_s(self, target: tracked_target.TrackedTarget) -> float:
        is_unsuspected = target.suspicion.since_s is None
        if is_unsuspected and target.state is _States.IN_SERVICE:
            return target.probing.due_s
        return target.probing.suspect_due_s
