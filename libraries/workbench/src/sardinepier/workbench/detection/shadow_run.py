"""Many rules over one run: each judges, none of them acts.

The rules judge daemon by daemon and for themselves, so one run without any
ejection shows when each of them would have ejected what. What it can't show
is how the requests would have fared, so a panel tells nothing about those.
"""

from collections.abc import Sequence

from sardinepier.health import evidence
from sardinepier.workbench.detection import (
    contenders,
    detector,
    driver,
    measurements,
    records,
)


class ShadowDetectors:
    """A judge that lets others look on and never ejects."""

    def __init__(
        self,
        detectors: Sequence[
            tuple[detector.Detector, measurements.Measurements]
        ],
        targets: int,
    ) -> None:
        """Let ``detectors`` look on, each with measurements of its own."""
        self._detectors = detectors
        self._everyone = [1.0 for _ in range(targets)]
        self._now_s = 0.0

    def started(
        self, daemon: int, target: int, route: int, number: int
    ) -> None:
        """Show an attempt to all."""
        for one, _ in self._detectors:
            one.started(daemon, target, route, number)

    def record_attempt(self, now_s: float, daemon: int, target: int) -> None:
        """Note the new work in all measurements."""
        for _, measured in self._detectors:
            measured.record_attempt(now_s, daemon, target, trial=False)

    def finished(
        self,
        daemon: int,
        target: int,
        route: int,
        number: int,
        end: evidence.AttemptOutcome,
        latency_ms: float,
    ) -> None:
        """Show an end to all."""
        for one, _ in self._detectors:
            one.finished(daemon, target, route, number, end, latency_ms)

    def tick(self, daemon: int, now_s: float) -> None:
        """Let all decide, and measure."""
        for one, measured in self._detectors:
            one.tick(daemon, now_s)
            measured.record_arrival(now_s)
            measured.record_weights(now_s, daemon, one.weights(daemon))

    def weights(self, daemon: int) -> Sequence[float]:
        """Return full weights: nobody is ejected."""
        return self._everyone

    def peers_in_flight(self, daemon: int) -> Sequence[int] | None:
        """Return None: the driver tells daemons the true counts."""
        return detector.UNKNOWN

    def is_trial(self, daemon: int, target: int) -> bool:
        """Return False."""
        return False

    def replaced(self, target: int, incarnation: int) -> None:
        """Tell all."""
        for one, _ in self._detectors:
            one.replaced(target, incarnation)

    def probed(self, daemon: int, target: int, good: bool) -> None:
        """Tell all."""
        for one, _ in self._detectors:
            one.probed(daemon, target, good)

    def due_probes(self, daemon: int, now_s: float) -> Sequence[int]:
        """Return nothing."""
        return ()


def run(
    plan: driver.Plan,
    looking_on: Sequence[contenders.Contender],
) -> list[records.Record]:
    """Run one plan before all contenders at once; return their records."""
    one_run = driver.Driver(plan)
    detectors = [
        (
            contender.make(plan.service, plan.seed, one_run.clock),
            measurements.Measurements(
                plan.service, plan.fault, plan.fault_at_s
            ),
        )
        for contender in looking_on
    ]
    shadow_detectors = ShadowDetectors(detectors, plan.service.targets)
    one_run.attach(shadow_detectors, shadow_detectors.record_attempt)
    one_run.run()
    key = (plan.service, plan.traffic, plan.fault, plan.seed)
    return [
        records.record(contender.name, key, measured)
        for contender, (_, measured) in zip(looking_on, detectors, strict=True)
    ]
