"""Evaluates many detectors in one run, without acting on any of them.

Rival rules decide from each daemon's own attempts, so one run without
ejections shows which targets each rule would have ejected, and when. It can't
show how an ejection would have changed the outcomes of requests, so the
records count none.
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
    """Passes events to several detectors and never ejects a target."""

    def __init__(
        self,
        detectors: Sequence[
            tuple[detector.Detector, measurements.Measurements]
        ],
        targets: int,
    ) -> None:
        """Feed ``detectors``, each with measurements of its own."""
        self._detectors = detectors
        self._full_weights = [1.0 for _ in range(targets)]
        self._now_s = 0.0

    def started(
        self, daemon: int, target: int, route: int, number: int
    ) -> None:
        """Pass the attempt to all detectors."""
        for rule_detector, _ in self._detectors:
            rule_detector.started(daemon, target, route, number)

    def record_attempt(self, now_s: float, daemon: int, target: int) -> None:
        """Record the attempt in all measurements."""
        for _, measured in self._detectors:
            measured.record_attempt(now_s, daemon, target, trial=False)

    def finished(
        self,
        daemon: int,
        target: int,
        route: int,
        number: int,
        outcome: evidence.AttemptOutcome,
        latency_ms: float,
    ) -> None:
        """Pass the outcome to all detectors."""
        for rule_detector, _ in self._detectors:
            rule_detector.finished(
                daemon, target, route, number, outcome, latency_ms
            )

    def tick(self, daemon: int, now_s: float) -> None:
        """Let all detectors decide, and record their weights."""
        for rule_detector, measured in self._detectors:
            rule_detector.tick(daemon, now_s)
            measured.record_arrival(now_s)
            measured.record_weights(
                now_s, daemon, rule_detector.weights(daemon)
            )

    def weights(self, daemon: int) -> Sequence[float]:
        """Return full weights: no target is ejected."""
        return self._full_weights

    def peers_in_flight(self, daemon: int) -> Sequence[int] | None:
        """Return None: the driver sends daemons the true counts."""
        return detector.UNKNOWN

    def is_trial(self, daemon: int, target: int) -> bool:
        """Return False: no target is ejected, so none is on trial."""
        return False

    def replaced(self, target: int, incarnation: int) -> None:
        """Pass the new incarnation to all detectors."""
        for rule_detector, _ in self._detectors:
            rule_detector.replaced(target, incarnation)

    def probed(self, daemon: int, target: int, good: bool) -> None:
        """Pass the probe's answer to all detectors."""
        for rule_detector, _ in self._detectors:
            rule_detector.probed(daemon, target, good)

    def due_probes(self, daemon: int, now_s: float) -> Sequence[int]:
        """Return no targets: rival rules don't use probes."""
        return ()


def run(
    plan: driver.Plan,
    evaluated: Sequence[contenders.Contender],
) -> list[records.Record]:
    """Evaluate all contenders in one run of a plan; return their records."""
    shadow_driver = driver.Driver(plan)
    detectors = [
        (
            contender.make(plan.service, plan.seed, shadow_driver.clock),
            measurements.Measurements(
                plan.service, plan.fault, plan.fault_at_s
            ),
        )
        for contender in evaluated
    ]
    shadow_detectors = ShadowDetectors(detectors, plan.service.targets)
    shadow_driver.attach(shadow_detectors, shadow_detectors.record_attempt)
    shadow_driver.run()
    key = (plan.service, plan.traffic, plan.fault, plan.seed)
    return [
        records.record(contender.name, key, measured)
        for contender, (_, measured) in zip(evaluated, detectors, strict=True)
    ]
