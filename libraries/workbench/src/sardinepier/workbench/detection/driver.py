"""A small discrete-event driver: requests, targets, faults and one judge.

Everything that happens is an action on one agenda, so a run depends on
nothing but its plan. Daemons choose with the project's own chooser and judge
with whatever judge they are given; targets are the models of this package.
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
_TICK_S: Final = 0.1
_PROBE_S: Final = 0.025
_BURST_FACTOR: Final = 2.0
_BURST_EVERY_S: Final = 20.0
_BURST_S: Final = 2.0
_GOSSIP_S: Final = 0.5
_MEAN_OVER_MEDIAN: Final = 1.133
"""Of a service time whose logarithm has the standard deviation 0.5."""


_Counts = list[list[int]]
"""In-flight requests: a row a daemon, a column a target."""

_WARM_UP_S: Final = 25.0
_WARM_UP_LOAD: Final = 0.3
"""Quiet hours follow busier ones, in which daemons learned the routes."""


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """One run: what is served, how busy, what goes wrong when, which seed."""

    service: scenario.Service
    traffic: scenario.Traffic
    fault: scenario.Fault
    fault_at_s: float
    end_s: float
    seed: int


class Driver:
    """Runs one plan with one judge."""

    def __init__(self, plan: Plan) -> None:
        """Prepare a run; ``attach`` a judge before ``run``."""
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
        self._told: list[tuple[float, _Counts]] = []

    @property
    def clock(self) -> core_clock.Clock:
        """Return the clock that the run moves."""
        return self._events.clock

    def attach(
        self,
        detector: detectors.Detector,
        on_sent: exchange.SentHandler | None = None,
    ) -> None:
        """Set who judges, and who else is told of new work."""
        self._detector = detector
        self._exchange.detector = detector
        if on_sent is not None:
            self._exchange.on_sent = on_sent

    def run(self) -> measurements.Measurements:
        """Run to the end and return what was measured."""
        daemons = self._plan.service.daemons
        for place in range(daemons):
            first_s = _TICK_S * (place + 1) / daemons
            self._events.call_at(first_s, functools.partial(self._tick, place))
        self._events.call_at(0.0, self._arrive)
        self._events.call_at(_GOSSIP_S, self._tell_load)
        every_s = self._plan.traffic.replaced_every_s
        if every_s:
            self._events.call_at(every_s, self._replace_one)
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
        mean_s = _MEAN_OVER_MEDIAN * median_ms / _MS_PER_S
        load = self._plan.traffic.load
        if now_s < _WARM_UP_S:
            load = max(load, _WARM_UP_LOAD)
        rate_s = load * service.slots * service.targets
        rate_s *= self._fault_model.load_factor(now_s) / mean_s
        if self._plan.traffic.bursts and self._is_burst(now_s):
            rate_s *= _BURST_FACTOR
        return rate_s

    def _is_burst(self, now_s: float) -> bool:
        if now_s > self._burst_until_s + _BURST_EVERY_S:
            self._burst_until_s = now_s + _BURST_S
        return now_s < self._burst_until_s

    def _tick(self, place: int) -> None:
        now_s = self._events.now_s()
        self._detector.tick(place, now_s)
        weights = self._detector.weights(place)
        candidates = self._context.daemons[place].candidates
        for candidate, weight in zip(candidates, weights, strict=True):
            candidate.weight = weight
        self._learn_load(place, candidates)
        self._context.measured.record_weights(now_s, place, weights)
        for target in self._detector.due_probes(place, now_s):
            good = self._fault_model.probe_is_good(place, target, now_s)
            self._events.call_at(
                now_s + _PROBE_S,
                functools.partial(self._detector.probed, place, target, good),
            )
        self._exchange.drain(place)
        self._events.call_at(
            now_s + _TICK_S,
            functools.partial(self._tick, place),
        )

    def _learn_load(
        self,
        place: int,
        candidates: list[choice.Candidate],
    ) -> None:
        """Take the peers' load from the judge where it knows."""
        counts = self._detector.peers_in_flight(place)
        if counts is None or self._fault_model.load_lag_s():
            return
        for candidate, count in zip(candidates, counts, strict=True):
            candidate.peers_in_flight = count

    def _tell_load(self) -> None:
        """Tell all daemons of all in-flight counts, later under the fault."""
        now_s = self._events.now_s()
        counts = [
            [candidate.in_flight for candidate in one.candidates]
            for one in self._context.daemons
        ]
        self._told.append((now_s + self._fault_model.load_lag_s(), counts))
        while self._told and self._told[0][0] <= now_s:
            self._take_load(self._told.pop(0)[1])
        self._events.call_at(now_s + _GOSSIP_S, self._tell_load)

    def _take_load(self, counts: _Counts) -> None:
        judge_knows = self._detector.peers_in_flight(0) is not None
        if judge_knows and not self._fault_model.load_lag_s():
            return
        totals = [sum(column) for column in zip(*counts, strict=True)]
        for one, own in zip(self._context.daemons, counts, strict=True):
            for place, candidate in enumerate(one.candidates):
                candidate.peers_in_flight = totals[place] - own[place]

    def _replace_one(self) -> None:
        self._replace(int(self._random.random() * self._plan.service.targets))
        every_s = self._plan.traffic.replaced_every_s
        self._events.call_at(self._events.now_s() + every_s, self._replace_one)

    def _replace(self, place: int) -> None:
        target = self._context.targets[place]
        target.replace(self._events.now_s())
        self._detector.replaced(place, target.incarnation)
