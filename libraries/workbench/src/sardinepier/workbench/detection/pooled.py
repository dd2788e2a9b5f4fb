"""The health library as a detector: one ServiceHealth per daemon."""

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
    """A group of daemons that share one clock and exchange reports."""

    def __init__(
        self,
        service: scenario.Service,
        options: health_options.HealthOptions,
        seed: int,
        clock: core_clock.Clock,
        alone: bool = False,
    ) -> None:
        """Make the group; with ``alone`` the daemons exchange no reports."""
        self._clock = clock
        self._alone = alone
        self._names = [
            detector.target_name(index) for index in range(service.targets)
        ]
        self._routes = [
            detector.route_name(index) for index in range(len(service.route_ms))
        ]
        self._observers = [
            ids.InstanceId(f'd{index}~0') for index in range(service.daemons)
        ]
        self._incarnations = [0 for _ in self._names]
        self._slots = service.slots
        self._reports_in_transit: list[
            tuple[float, int, evidence.EvidenceReport]
        ] = []
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
        self._update_targets()

    def started(
        self, daemon: int, target: int, route: int, number: int
    ) -> None:
        """Pass the attempt to the daemon."""
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
        outcome: evidence.AttemptOutcome,
        latency_ms: float,
    ) -> None:
        """Pass the outcome to the daemon."""
        self.daemons[daemon].finished(
            self._names[target],
            self._routes[route],
            number,
            outcome,
            latency_ms,
        )

    def tick(self, daemon: int, now_s: float) -> None:
        """Deliver reports, update the daemon, and send its report when due."""
        health = self.daemons[daemon]
        if self._alone:
            health.tick()
            return
        self._deliver(now_s)
        health.tick()
        if health.report_due():
            sent = (now_s + _REPORT_DELAY_S, daemon, health.report())
            self._reports_in_transit.append(sent)

    def weights(self, daemon: int) -> Sequence[float]:
        """Return the weight of each target at the daemon."""
        health = self.daemons[daemon]
        return [health.standing(name).weight for name in self._names]

    def peers_in_flight(self, daemon: int) -> Sequence[int] | None:
        """Return the counts in the peers' reports, None without reports."""
        if self._alone:
            return None
        health = self.daemons[daemon]
        return [health.standing(name).peers_in_flight for name in self._names]

    def is_trial(self, daemon: int, target: int) -> bool:
        """Return whether the target is on trial at the daemon."""
        standing = self.daemons[daemon].standing(self._names[target])
        return standing.state is targets.TargetState.TRIAL

    def replaced(self, target: int, incarnation: int) -> None:
        """Pass the list with the new incarnation to all daemons."""
        self._incarnations[target] = incarnation
        self._update_targets()

    def probed(self, daemon: int, target: int, good: bool) -> None:
        """Pass the probe's answer to the daemon, with a typical latency."""
        self.daemons[daemon].probed(self._names[target], good, _PROBE_MS)

    def due_probes(self, daemon: int, now_s: float) -> Sequence[int]:
        """Return the targets that the daemon wants to probe."""
        due = self.daemons[daemon].due_probes()
        return [self._names.index(name) for name in due]

    def _deliver(self, now_s: float) -> None:
        while (
            self._reports_in_transit and self._reports_in_transit[0][0] <= now_s
        ):
            _, sender, report = self._reports_in_transit.pop(0)
            for index, health in enumerate(self.daemons):
                if index != sender:
                    health.receive_report(self._observers[sender], report)

    def _update_targets(self) -> None:
        identities = [
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
            health.set_targets(identities)

    def _count_change(self, _event: object) -> None:
        self.changes += 1
