"""When to probe which target."""

import random
from typing import Final

from sardinepier.core import ids
from sardinepier.health import options as health_options
from sardinepier.health import targets
from sardinepier.health.internal import target_list, tracked_target

_States = targets.TargetState
_LEAST_JITTER: Final = 0.8
_MOST_JITTER: Final = 1.2


class ProbeSchedule:
    """Probes every target now and then, and suspects more often."""

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
        """Return the targets whose probe is due, and set the next one."""
        due = []
        for one in self._listed:
            if now_s < self._due_s(one) or one.state is _States.LEAVING:
                continue
            jitter = self._random.uniform(_LEAST_JITTER, _MOST_JITTER)
            one.probing.due_s = now_s + self.options.probe_interval_s * jitter
            one.probing.suspect_due_s = (
                now_s + self.options.suspect_probe_interval_s * jitter
            )
            due.append(one.target_id)
        return tuple(due)

    def _due_s(self, one: tracked_target.TrackedTarget) -> float:
        calm = one.suspicion.since_s is None
        if calm and one.state is _States.IN_SERVICE:
            return one.probing.due_s
        return one.probing.suspect_due_s
