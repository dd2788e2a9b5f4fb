"""The real library as a judge: one ServiceHealth a daemon, with reports."""

import random
from collections.abc import Sequence
from typing import Final

from sardinepier.core import clock as core_clock
from sardinepier.core import ids
from sardinepier.health import evidence, service_health, targets
from sardinepier.health import options as health_options
from sardinepier.workbench.detection import detector, scenario

_REPORT_DELAY_S: Final = 0.02
_PROBE_MS: Final = 25.0


class PooledDetector:
    """A group of daemons with the library, in step with one clock."""

    def __init__(
        self,
        service: scenario.Service,
        options: health_options.HealthOptions,
        seed: int,
        clock: core_clock.Clock,
        alone: bool = False,
    ) -> None:
        """Make the group; ``alone`` keeps the daemons from reporting."""
        self._clock = clock
        self._alone = alone
        self._names = [
            detector.target_name(at) for at in range(service.targets)
        ]
        self._routes = [
            detector.route_name(at) for at in range(len(service.route_ms))
        ]
        self._observers = [
            ids.InstanceId(f'd{at}~0') for at in range(service.daemons)
        ]
        self._incarnations = [0 for _ in self._names]
        self._slots = service.slots
        self._under_way: list[tuple[float, int, evidence.EvidenceReport]] = []
        self.changes = 0
        self.daemons = [
            service_health.ServiceHealth(
                ids.ServiceName(service.name),
                observer,
                options,
                clock,
                random.Random(f'{seed}/{observer}'),
                self._count_change,
            )
            for observer in self._observers
        ]
        self._list_targets()

    def started(
        self, daemon: int, target: int, route: int, number: int
    ) -> None:
        """Pass it on."""
        self.daemons[daemon].started(
            self._names[target],
            self._routes[route],
            number,
        )

    def finished(
        self,
        daemon: int,
        target: int,
        route: int,
        number: int,
        end: evidence.AttemptOutcome,
        latency_ms: float,
    ) -> None:
        """Pass it on."""
        self.daemons[daemon].finished(
            self._names[target],
            self._routes[route],
            number,
            end,
            latency_ms,
        )

    def tick(self, daemon: int, now_s: float) -> None:
        """Deliver reports, decide, and report when it is due."""
        health = self.daemons[daemon]
        if self._alone:
            health.tick()
            return
        self._deliver(now_s)
        health.tick()
        if health.report_due():
            sent = (now_s + _REPORT_DELAY_S, daemon, health.report())
            self._under_way.append(sent)

    def weights(self, daemon: int) -> Sequence[float]:
        """Return the weights by which the daemon chooses."""
        health = self.daemons[daemon]
        return [health.standing(name).weight for name in self._names]

    def peers_in_flight(self, daemon: int) -> Sequence[int] | None:
        """Return the counts from the peers' reports."""
        if self._alone:
            return None
        health = self.daemons[daemon]
        return [health.standing(name).peers_in_flight for name in self._names]

    def is_trial(self, daemon: int, target: int) -> bool:
        """Return whether the target is on trial at the daemon."""
        standing = self.daemons[daemon].standing(self._names[target])
        return standing.state is targets.TargetState.TRIAL

    def replaced(self, target: int, incarnation: int) -> None:
        """Give all daemons the new list."""
        self._incarnations[target] = incarnation
        self._list_targets()

    def probed(self, daemon: int, target: int, good: bool) -> None:
        """Pass it on, as a probe that took its usual time."""
        self.daemons[daemon].probed(self._names[target], good, _PROBE_MS)

    def due_probes(self, daemon: int, now_s: float) -> Sequence[int]:
        """Return the places of the targets to probe."""
        due = self.daemons[daemon].due_probes()
        return [self._names.index(name) for name in due]

    def _deliver(self, now_s: float) -> None:
        while self._under_way and self._under_way[0][0] <= now_s:
            _, sender, report = self._under_way.pop(0)
            for place, health in enumerate(self.daemons):
                if place != sender:
                    health.receive_report(self._observers[sender], report)

    def _list_targets(self) -> None:
        listed = [
            targets.TargetIdentity(
                name,
                ids.TargetIncarnation(str(incarnation)),
                self._slots,
            )
            for name, incarnation in zip(
                self._names,
                self._incarnations,
                strict=True,
            )
        ]
        for health in self.daemons:
            health.set_targets(listed)

    def _count_change(self, _event: object) -> None:
        self.changes += 1
