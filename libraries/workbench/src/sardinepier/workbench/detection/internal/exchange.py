"""Simulates requests from the choice of a target to their outcome."""

import dataclasses
import functools
from collections.abc import Callable
from typing import Final

from sardinepier.core import ids
from sardinepier.health import evidence
from sardinepier.routing import choice
from sardinepier.workbench.detection import detector as detectors
from sardinepier.workbench.detection import measurements, scenario
from sardinepier.workbench.detection.internal import (
    event_queue,
    faults,
    target_model,
)

SentHandler = Callable[[float, int, int], None]

_Outcome = evidence.AttemptOutcome
_MS_PER_S: Final = 1000
_MAX_TRIES: Final = 10
_MAX_WAITING: Final = 64
_MAX_WAIT_S: Final = 1.0
_SHED_DURATION_S: Final = 0.001
_CRASH_DURATION_S: Final = 0.025
_FAILURE_TIME_SHARE: Final = 0.5
_SLOW_PHASE_S: Final = 5.0
_SLOW_PHASE_FACTOR: Final = 3.0
_ZONE: Final = ids.ZoneName('z')


@dataclasses.dataclass(slots=True)
class Daemon:
    """A daemon's candidates, and its requests that wait for a slot."""

    candidates: list[choice.Candidate]
    waiting: list[target_model.SimulatedRequest]


def daemon(service: scenario.Service) -> Daemon:
    """Return a daemon that knows all targets of the service."""
    candidates = [
        choice.Candidate(
            detectors.target_name(index), _ZONE, 1.0, service.slots
        )
        for index in range(service.targets)
    ]
    return Daemon(candidates, [])


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeContext:
    """The models and helpers that an exchange uses."""

    service: scenario.Service
    traffic: scenario.Traffic
    events: event_queue.EventQueue
    fault_model: faults.FaultModel
    targets: tuple[target_model.TargetModel, ...]
    daemons: tuple[Daemon, ...]
    chooser: choice.TargetChooser
    measured: measurements.Measurements


def _ignore_sent(_now_s: float, _daemon: int, _target: int) -> None:
    """Do nothing on a sent request."""


class Exchange:
    """Sends requests and schedules their outcomes."""

    def __init__(self, context: ExchangeContext) -> None:
        """Use ``context``; set ``detector`` before the first request."""
        self.detector: detectors.Detector
        self.on_sent: SentHandler = _ignore_sent
        self._context = context
        self._events = context.events
        self._number = 0

    def arrive(self, request: target_model.SimulatedRequest) -> None:
        """Accept a request from a caller."""
        self._context.measured.record_arrival(request.arrived_s)
        self._send(request)

    def drain(self, daemon_index: int) -> None:
        """Send a daemon's waiting requests while there are free slots."""
        sender = self._context.daemons[daemon_index]
        waiting = sender.waiting
        sender.waiting = []
        now_s = self._events.now_s()
        for position, request in enumerate(waiting):
            if now_s - request.arrived_s > _MAX_WAIT_S:
                self._context.measured.record_refusal(now_s)
                continue
            self._send(request)
            if sender.waiting:
                sender.waiting.extend(waiting[position + 1 :])
                return

    def _send(self, request: target_model.SimulatedRequest) -> None:
        sender = self._context.daemons[request.daemon]
        chosen = self._context.chooser.choose(sender.candidates)
        now_s = self._events.now_s()
        if chosen is None:
            if len(sender.waiting) >= _MAX_WAITING:
                self._context.measured.record_refusal(now_s)
            else:
                sender.waiting.append(request)
            return
        self._number += 1
        request.number = self._number
        request.target = detectors.target_index(chosen)
        request.started_s = now_s
        request.tries += 1
        sender.candidates[request.target].in_flight += 1
        self.detector.started(
            request.daemon, request.target, request.route, request.number
        )
        trial = self.detector.is_trial(request.daemon, request.target)
        self._context.measured.record_attempt(
            now_s, request.daemon, request.target, trial
        )
        self.on_sent(now_s, request.daemon, request.target)
        self._deliver(request)

    def _deliver(self, request: target_model.SimulatedRequest) -> None:
        """Deliver the request to its target, unless the fault loses it."""
        now_s = self._events.now_s()
        target = self._context.targets[request.target]
        slots = self._context.service.slots
        if self._context.fault_model.is_lost(request, now_s):
            self._schedule_end(
                self._timeout_s(request), request, _Outcome.TIMED_OUT
            )
        elif self._context.fault_model.crashes_target(request, now_s):
            self._schedule_end(
                now_s + _CRASH_DURATION_S, request, _Outcome.CRASH_SUSPECT
            )
        elif target.running < slots:
            self._start(target, request)
        elif len(target.queue) < slots:
            target.queue.append(request)
            self._schedule_end(
                self._timeout_s(request), request, _Outcome.TIMED_OUT
            )
        else:
            self._schedule_end(now_s + _SHED_DURATION_S, request, _Outcome.SHED)

    def _timeout_s(self, request: target_model.SimulatedRequest) -> float:
        return request.started_s + self._context.service.timeout_ms / _MS_PER_S

    def _schedule_end(
        self,
        moment_s: float,
        request: target_model.SimulatedRequest,
        outcome: evidence.AttemptOutcome,
    ) -> None:
        self._events.call_at(
            moment_s, functools.partial(self._end, request, outcome)
        )

    def _start(
        self,
        target: target_model.TargetModel,
        request: target_model.SimulatedRequest,
    ) -> None:
        now_s = self._events.now_s()
        target.running += 1
        outcome = self._context.fault_model.outcome(request, now_s)
        factor = self._context.fault_model.slow_factor(request, now_s)
        factor *= self._slow_phase_factor(now_s)
        service_ms = target.service_ms(request.route, now_s, factor)
        if outcome is _Outcome.FAILED or outcome is _Outcome.WRONG:
            service_ms *= _FAILURE_TIME_SHARE
        finish_s = now_s + service_ms / _MS_PER_S
        timeout_s = self._timeout_s(request)
        if outcome is _Outcome.TIMED_OUT or finish_s > timeout_s:
            finish_s = timeout_s
            outcome = _Outcome.TIMED_OUT
        self._events.call_at(
            finish_s,
            functools.partial(self._finish, target, request, outcome),
        )

    def _slow_phase_factor(self, now_s: float) -> float:
        every_s = self._context.traffic.whole_service_slow_every_s
        if every_s and now_s % every_s > every_s - _SLOW_PHASE_S:
            return _SLOW_PHASE_FACTOR
        return 1.0

    def _finish(
        self,
        target: target_model.TargetModel,
        request: target_model.SimulatedRequest,
        outcome: evidence.AttemptOutcome,
    ) -> None:
        target.running -= 1
        self._end(request, outcome)
        while target.queue and target.running < self._context.service.slots:
            waiting = target.queue.popleft()
            if not waiting.ended:
                self._start(target, waiting)

    def _end(
        self,
        request: target_model.SimulatedRequest,
        outcome: evidence.AttemptOutcome,
    ) -> None:
        if request.ended:
            return
        request.ended = True
        now_s = self._events.now_s()
        sender = self._context.daemons[request.daemon]
        sender.candidates[request.target].in_flight -= 1
        latency_ms = (now_s - request.started_s) * _MS_PER_S
        seen_outcome, seen_ms = self._context.fault_model.as_seen(
            request,
            outcome,
            latency_ms,
            now_s,
        )
        self.detector.finished(
            request.daemon,
            request.target,
            request.route,
            request.number,
            seen_outcome,
            seen_ms,
        )
        if outcome is _Outcome.SHED and request.tries < _MAX_TRIES:
            sender.waiting.append(dataclasses.replace(request, ended=False))
        else:
            total_ms = (now_s - request.arrived_s) * _MS_PER_S
            typical_ms = self._context.service.route_ms[request.route]
            self._context.measured.record_end(
                now_s, seen_outcome, total_ms / typical_ms
            )
        if sender.waiting and outcome is not _Outcome.SHED:
            self.drain(request.daemon)
