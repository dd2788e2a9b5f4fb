"""Discrete-event simulation of requests, targets, faults and one detector.

All events go through one queue and all randomness is seeded, so a run depends
on nothing but its plan. Daemons choose targets with the project's own chooser;
targets are models of this package.
"""

import dataclasses
import functools
import random
from typing import Final

from sardinepier.core import clock as core_clock
from sardinepier.routing import choice
from sardinepier.workbench.detection import detector as detectors
from sardinepier.workbench.detection import measurements, scenario
from sardinepier.workbench.detection.internal import (
    event_queue,
    exchange,
    faults,
    target_model,
)

_MS_PER_S: Final = 1000
_TICK_INTERVAL_S: Final = 0.1
_PROBE_DURATION_S: Final = 0.025
_BURST_FACTOR: Final = 2.0
_BURST_GAP_S: Final = 20.0
_BURST_LENGTH_S: Final = 2.0
_LOAD_INTERVAL_S: Final = 0.5
_MEAN_TO_MEDIAN_RATIO: Final = 1.133
"""For a log-normal service time whose logarithm has a deviation of 0.5."""


_Counts = list[list[int]]
"""In-flight requests: one row per daemon, one column per target."""

_WARM_UP_S: Final = 25.0
_WARM_UP_LOAD: Final = 0.3
"""Minimum load during warm-up, in which daemons learn the routes' latencies.

Quiet hours in production also follow busier ones.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """One run: service, traffic, fault with its start, length and seed."""

    service: scenario.Service
    traffic: scenario.Traffic
    fault: scenario.Fault
    fault_at_s: float
    end_s: float
    seed: int


class Driver:
    """Runs one plan with one detector."""

    def __init__(self, plan: Plan) -> None:
        """Prepare a run; call ``attach`` before ``run``."""
        service = plan.service
        self._plan = plan
        self._random = random.Random(plan.seed)
        self._fault_model = faults.FaultModel(
            service,
            plan.fault,
            plan.fault_at_s,
            self._random,
        )
        self._events = event_queue.EventQueue()
        self._context = exchange.ExchangeContext(
            service=service,
            traffic=plan.traffic,
            events=self._events,
            fault_model=self._fault_model,
            targets=tuple(
                target_model.TargetModel(service, self._random, plan.end_s)
                for _ in range(service.targets)
            ),
            daemons=tuple(
                exchange.daemon(service) for _ in range(service.daemons)
            ),
            chooser=choice.LeastLoadedOfTwo(random.Random(plan.seed + 1)),
            measured=measurements.Measurements(
                service, plan.fault, plan.fault_at_s
            ),
        )
        self._exchange = exchange.Exchange(self._context)
        self._detector: detectors.Detector
        self._burst_until_s = 0.0
        self._pending_load: list[tuple[float, _Counts]] = []

    @property
    def clock(self) -> core_clock.Clock:
        """Return the clock that the run advances."""
        return self._events.clock

    def attach(
        self,
        detector: detectors.Detector,
        on_sent: exchange.SentHandler | None = None,
    ) -> None:
        """Set the detector, and a callback for each request sent to a target."""
        self._detector = detector
        self._exchange.detector = detector
        if on_sent is not None:
            self._exchange.on_sent = on_sent

    def run(self) -> measurements.Measurements:
        """Run to the end and return what was measured."""
        daemons = self._plan.service.daemons
        for daemon_index in range(daemons):
            first_s = _TICK_INTERVAL_S * (daemon_index + 1) / daemons
            self._events.call_at(
                first_s, functools.partial(self._tick, daemon_index)
            )
        self._events.call_at(0.0, self._arrive)
        self._events.call_at(_LOAD_INTERVAL_S, self._send_load)
        every_s = self._plan.traffic.replaced_every_s
        if every_s:
            self._events.call_at(every_s, self._replace_random)
        replaced_at_s = self._fault_model.replaced_at_s()
        if replaced_at_s is not None:
            self._events.call_at(
                replaced_at_s,
                functools.partial(self._replace, 0),
            )
        self._events.run(self._plan.end_s)
        return self._context.measured

    def _arrive(self) -> None:
        now_s = self._events.now_s()
        gap_s = self._random.expovariate(self._rate_s(now_s))
        self._events.call_at(now_s + gap_s, self._arrive)
        service = self._plan.service
        self._exchange.arrive(
            target_model.SimulatedRequest(
                int(self._random.random() * service.daemons),
                int(self._random.random() * len(service.route_ms)),
                now_s,
            ),
        )

    def _rate_s(self, now_s: float) -> float:
        service = self._plan.service
        median_ms = sum(service.route_ms) / len(service.route_ms)
        mean_s = _MEAN_TO_MEDIAN_RATIO * median_ms / _MS_PER_S
        load = self._plan.traffic.load
        if now_s < _WARM_UP_S:
            load = max(load, _WARM_UP_LOAD)
        rate_s = load * service.slots * service.targets
        rate_s *= self._fault_model.load_factor(now_s) / mean_s
        if self._plan.traffic.bursts and self._is_burst(now_s):
            rate_s *= _BURST_FACTOR
        return rate_s

    def _is_burst(self, now_s: float) -> bool:
        if now_s > self._burst_until_s + _BURST_GAP_S:
            self._burst_until_s = now_s + _BURST_LENGTH_S
        return now_s < self._burst_until_s

    def _tick(self, daemon_index: int) -> None:
        now_s = self._events.now_s()
        self._detector.tick(daemon_index, now_s)
        weights = self._detector.weights(daemon_index)
        candidates = self._context.daemons[daemon_index].candidates
        for candidate, weight in zip(candidates, weights, strict=True):
            candidate.weight = weight
        self._update_peer_load(daemon_index, candidates)
        self._context.measured.record_weights(now_s, daemon_index, weights)
        for target in self._detector.due_probes(daemon_index, now_s):
            good = self._fault_model.probe_is_good(daemon_index, target, now_s)
            self._events.call_at(
                now_s + _PROBE_DURATION_S,
                functools.partial(
                    self._detector.probed, daemon_index, target, good
                ),
            )
        self._exchange.drain(daemon_index)
        self._events.call_at(
            now_s + _TICK_INTERVAL_S,
            functools.partial(self._tick, daemon_index),
        )

    def _update_peer_load(
        self,
        daemon_index: int,
        candidates: list[choice.Candidate],
    ) -> None:
        """Set the peers' in-flight counts, if the detector knows them."""
        counts = self._detector.peers_in_flight(daemon_index)
        if counts is None or self._fault_model.load_lag_s():
            return
        for candidate, count in zip(candidates, counts, strict=True):
            candidate.peers_in_flight = count

    def _send_load(self) -> None:
        """Send all in-flight counts to all daemons, with the fault's delay."""
        now_s = self._events.now_s()
        counts = [
            [candidate.in_flight for candidate in daemon.candidates]
            for daemon in self._context.daemons
        ]
        self._pending_load.append(
            (now_s + self._fault_model.load_lag_s(), counts)
        )
        while self._pending_load and self._pending_load[0][0] <= now_s:
            self._apply_load(self._pending_load.pop(0)[1])
        self._events.call_at(now_s + _LOAD_INTERVAL_S, self._send_load)

    def _apply_load(self, counts: _Counts) -> None:
        detector_has_load = self._detector.peers_in_flight(0) is not None
        if detector_has_load and not self._fault_model.load_lag_s():
            return
        totals = [sum(column) for column in zip(*counts, strict=True)]
        for daemon, own in zip(self._context.daemons, counts, strict=True):
            for target, candidate in enumerate(daemon.candidates):
                candidate.peers_in_flight = totals[target] - own[target]

    def _replace_random(self) -> None:
        self._replace(int(self._random.random() * self._plan.service.targets))
        every_s = self._plan.traffic.replaced_every_s
        self._events.call_at(
            self._events.now_s() + every_s, self._replace_random
        )

    def _replace(self, target_index: int) -> None:
        target = self._context.targets[target_index]
        target.replace(self._events.now_s())
        self._detector.replaced(target_index, target.incarnation)
