"""A small discrete-event driver: requests, targets, faults and one judge.

Everything that happens is an event in one heap, so a run depends on nothing
but its seed. Daemons choose with the project's own chooser and judge with
whatever judge they are given; targets are the models of this package.
"""

import dataclasses
import heapq
import random
from collections.abc import Callable
from typing import Final

from sardinepier.core import clock as core_clock
from sardinepier.core import ids
from sardinepier.health import evidence
from sardinepier.routing import choice
from sardinepier.workbench.detection import judge as judges
from sardinepier.workbench.detection import measures, scenario
from sardinepier.workbench.detection.internal import faults, target_model

_MS_PER_S: Final = 1000
_TICK_S: Final = 0.1
_MOST_TRIES: Final = 3
_TARGET_QUEUE_FACTOR: Final = 1
_WAITING_LIMIT: Final = 64
_PROBE_S: Final = 0.025
_BURST_FACTOR: Final = 2.0
_BURST_EVERY_S: Final = 20.0
_BURST_S: Final = 2.0
_ZONE: Final = ids.ZoneName('z')
_GOSSIP_S: Final = 0.5

_Action = Callable[[], None]


@dataclasses.dataclass(slots=True)
class _Daemon:
    candidates: list[choice.Candidate]
    waiting: list[target_model.Work]


class Driver:
    """Runs one scenario with one judge."""

    def __init__(
        self,
        service: scenario.Service,
        traffic: scenario.Traffic,
        fault: scenario.Fault,
        fault_at_s: float,
        end_s: float,
        seed: int,
    ) -> None:
        """Prepare a run; ``attach`` a judge before ``run``."""
        self.clock = core_clock.ManualClock()
        self.service = service
        self.measured = measures.Measures(service, fault, fault_at_s)
        self._traffic = traffic
        self._random = random.Random(seed)
        self._end_s = end_s
        self._strike = faults.Strike(service, fault, fault_at_s, self._random)
        self._targets = [
            target_model.TargetModel(service, self._random, end_s + 10)
            for _ in range(service.targets)
        ]
        chooser_random = random.Random(seed + 1)
        self._chooser = choice.LeastLoadedOfTwo(chooser_random)
        self._daemons = [
            _Daemon(self._candidates(), []) for _ in range(service.daemons)
        ]
        self._events: list[tuple[float, int, _Action]] = []
        self._order = 0
        self._number = 0
        self._judge: judges.Judge
        self._burst_until_s = 0.0
        self._gossip: list[tuple[float, list[list[int]]]] = []

    def attach(self, judge: judges.Judge) -> None:
        """Set who judges."""
        self._judge = judge

    def run(self) -> measures.Measures:
        """Run to the end and return what was measured."""
        for place in range(self.service.daemons):
            first_s = _TICK_S * (place + 1) / self.service.daemons
            self._at(first_s, self._tick_of(place))
        self._at(0.0, self._arrive)
        self._at(_GOSSIP_S, self._tell_load)
        if self._traffic.replaced_every_s:
            self._at(self._traffic.replaced_every_s, self._replace_one)
        replaced_at_s = self._strike.replaced_at_s()
        if replaced_at_s is not None:
            self._at(replaced_at_s, lambda: self._replace(0))
        now_s = 0.0
        while self._events:
            moment_s, _, action = heapq.heappop(self._events)
            if moment_s > self._end_s:
                break
            self.clock.advance(moment_s - now_s)
            now_s = moment_s
            action()
        return self.measured

    def _candidates(self) -> list[choice.Candidate]:
        return [
            choice.Candidate(
                judges.target_name(place),
                _ZONE,
                1.0,
                self.service.slots,
            )
            for place in range(self.service.targets)
        ]

    def _at(self, moment_s: float, action: _Action) -> None:
        self._order += 1
        heapq.heappush(self._events, (moment_s, self._order, action))

    def _now_s(self) -> float:
        return self.clock.monotonic_s()

    def _arrive(self) -> None:
        now_s = self._now_s()
        usual_ms = sum(self.service.routes) / len(self.service.routes)
        usual_ms *= 1.133
        slots = self.service.slots * self.service.targets
        rate = self._traffic.load * slots / (usual_ms / _MS_PER_S)
        rate *= self._rate_factor(now_s)
        gap_s = self._random.expovariate(rate)
        self._at(now_s + gap_s, self._arrive)
        self._number += 1
        work = target_model.Work(
            int(self._random.random() * self.service.daemons),
            int(self._random.random() * len(self.service.routes)),
            self._number,
            now_s,
        )
        self.measured.arrived(now_s)
        self._send(work)

    def _rate_factor(self, now_s: float) -> float:
        factor = self._strike.load_factor(now_s)
        if not self._traffic.bursts:
            return factor
        if now_s < self._burst_until_s:
            return factor * _BURST_FACTOR
        if now_s > self._burst_until_s + _BURST_EVERY_S:
            self._burst_until_s = now_s + _BURST_S
        return factor

    def _send(self, work: target_model.Work) -> None:
        daemon = self._daemons[work.daemon]
        chosen = self._chooser.choose(daemon.candidates)
        now_s = self._now_s()
        if chosen is None:
            if len(daemon.waiting) >= _WAITING_LIMIT:
                self.measured.refused(now_s)
            else:
                daemon.waiting.append(work)
            return
        work.target = int(chosen[1:])
        work.started_s = now_s
        work.tries += 1
        daemon.candidates[work.target].in_flight += 1
        self._judge.started(work.daemon, work.target, work.route, work.number)
        trial = self._judge.is_trial(work.daemon, work.target)
        self.measured.sent(now_s, work.daemon, work.target, trial)
        self._reach(work)

    def _reach(self, work: target_model.Work) -> None:
        """The request reaches the target, or is lost on the way."""
        now_s = self._now_s()
        timeout_s = now_s + self.service.timeout_ms / _MS_PER_S
        if self._strike.loses(work, now_s):
            self._at(
                timeout_s, self._end_of(work, evidence.AttemptEnd.TIMED_OUT)
            )
            return
        if self._strike.crashes(work, now_s):
            crash = evidence.AttemptEnd.CRASH_SUSPECT
            self._at(now_s + _PROBE_S, self._end_of(work, crash))
            return
        target = self._targets[work.target]
        if target.running < self.service.slots:
            self._begin(target, work)
        elif len(target.queue) < self.service.slots * _TARGET_QUEUE_FACTOR:
            target.queue.append(work)
            self._at(
                timeout_s, self._end_of(work, evidence.AttemptEnd.TIMED_OUT)
            )
        else:
            self._at(
                now_s + 0.001, self._end_of(work, evidence.AttemptEnd.SHED)
            )

    def _begin(
        self,
        target: target_model.TargetModel,
        work: target_model.Work,
    ) -> None:
        now_s = self._now_s()
        target.running += 1
        timeout_s = work.started_s + self.service.timeout_ms / _MS_PER_S
        end = self._strike.end(work, now_s)
        factor = self._strike.slow_factor(work, now_s)
        factor *= self._slow_spell(now_s)
        service_ms = target.service_ms(work.route, now_s, factor)
        if end in {evidence.AttemptEnd.FAILED, evidence.AttemptEnd.WRONG}:
            service_ms *= 0.5
        finish_s = now_s + service_ms / _MS_PER_S
        if end is evidence.AttemptEnd.TIMED_OUT or finish_s > timeout_s:
            finish_s = timeout_s
            end = evidence.AttemptEnd.TIMED_OUT
        self._at(finish_s, self._freed(target, work, end))

    def _slow_spell(self, now_s: float) -> float:
        every_s = self._traffic.whole_service_slow_every_s
        if every_s and now_s % every_s > every_s - 5:
            return 3.0
        return 1.0

    def _freed(
        self,
        target: target_model.TargetModel,
        work: target_model.Work,
        end: evidence.AttemptEnd,
    ) -> _Action:
        def free() -> None:
            target.running -= 1
            self._end_of(work, end)()
            while target.queue and target.running < self.service.slots:
                waiting = target.queue.popleft()
                if not waiting.ended:
                    self._begin(target, waiting)

        return free

    def _end_of(
        self,
        work: target_model.Work,
        end: evidence.AttemptEnd,
    ) -> _Action:
        def finish() -> None:
            if work.ended:
                return
            self._ended(work, end)

        return finish

    def _ended(
        self,
        work: target_model.Work,
        end: evidence.AttemptEnd,
    ) -> None:
        now_s = self._now_s()
        work.ended = True
        daemon = self._daemons[work.daemon]
        daemon.candidates[work.target].in_flight -= 1
        latency_ms = (now_s - work.started_s) * _MS_PER_S
        seen, seen_ms = self._strike.as_seen(work, end, latency_ms, now_s)
        self._judge.finished(
            work.daemon,
            work.target,
            work.route,
            work.number,
            seen,
            seen_ms,
        )
        if end is evidence.AttemptEnd.SHED and work.tries < _MOST_TRIES:
            again = dataclasses.replace(work, ended=False)
            again.number = self._number = self._number + 1
            self._send(again)
        else:
            total_ms = (now_s - work.arrived_s) * _MS_PER_S
            usual_ms = self.service.routes[work.route]
            self.measured.ended(now_s, seen, total_ms / usual_ms)
        self._drain(daemon)

    def _drain(self, daemon: _Daemon) -> None:
        if not daemon.waiting:
            return
        waiting = daemon.waiting
        daemon.waiting = []
        now_s = self._now_s()
        for place, work in enumerate(waiting):
            if now_s - work.arrived_s > 1:
                self.measured.refused(now_s)
                continue
            self._send(work)
            if daemon.waiting:
                daemon.waiting.extend(waiting[place + 1 :])
                return

    def _tick_of(self, place: int) -> _Action:
        def tick() -> None:
            now_s = self._now_s()
            self._judge.tick(place, now_s)
            weights = self._judge.weights(place)
            daemon = self._daemons[place]
            for candidate, weight in zip(
                daemon.candidates,
                weights,
                strict=True,
            ):
                candidate.weight = weight
            self._learn_load(place, daemon)
            self.measured.judged(now_s, place, weights)
            for target in self._judge.due_probes(place, now_s):
                good = self._strike.probe_is_good(place, target, now_s)
                self._at(now_s + _PROBE_S, self._probe_end(place, target, good))
            self._drain(daemon)
            self._at(now_s + _TICK_S, tick)

        return tick

    def _learn_load(self, place: int, daemon: _Daemon) -> None:
        counts = self._judge.peers_in_flight(place)
        if counts is None or self._strike.load_lag_s():
            return
        for candidate, count in zip(daemon.candidates, counts, strict=True):
            candidate.peers_in_flight = count

    def _probe_end(self, place: int, target: int, good: bool) -> _Action:
        return lambda: self._judge.probed(place, target, good)

    def _tell_load(self) -> None:
        now_s = self._now_s()
        counts = [
            [candidate.in_flight for candidate in daemon.candidates]
            for daemon in self._daemons
        ]
        self._gossip.append((now_s + self._strike.load_lag_s(), counts))
        while self._gossip and self._gossip[0][0] <= now_s:
            self._take_load(self._gossip.pop(0)[1])
        self._at(now_s + _GOSSIP_S, self._tell_load)

    def _take_load(self, counts: list[list[int]]) -> None:
        if self._judge.peers_in_flight(0) is not None:
            if not self._strike.load_lag_s():
                return
        totals = [sum(column) for column in zip(*counts, strict=True)]
        for daemon, own in zip(self._daemons, counts, strict=True):
            for place, candidate in enumerate(daemon.candidates):
                candidate.peers_in_flight = totals[place] - own[place]

    def _replace_one(self) -> None:
        self._replace(int(self._random.random() * self.service.targets))
        every_s = self._traffic.replaced_every_s
        self._at(self._now_s() + every_s, self._replace_one)

    def _replace(self, place: int) -> None:
        target = self._targets[place]
        target.replace(self._now_s())
        self._judge.replaced(place, target.incarnation)
