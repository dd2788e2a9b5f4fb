"""One request's way: a daemon chooses, a target works, an answer returns."""

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

_End = evidence.AttemptOutcome
_MS_PER_S: Final = 1000
_MOST_TRIES: Final = 10
_WAITING_LIMIT: Final = 64
_LONGEST_WAIT_S: Final = 1.0
_SHED_S: Final = 0.001
_CRASH_S: Final = 0.025
_FAILURE_TIME_SHARE: Final = 0.5
_SPELL_S: Final = 5.0
_SPELL_FACTOR: Final = 3.0
_ZONE: Final = ids.ZoneName('z')


@dataclasses.dataclass(slots=True)
class Daemon:
    """What a daemon knows when it chooses, and what waits for a slot."""

    candidates: list[choice.Candidate]
    waiting: list[target_model.SimulatedRequest]


def daemon(service: scenario.Service) -> Daemon:
    """Return a daemon that knows all targets of the service."""
    candidates = [
        choice.Candidate(detectors.target_name(at), _ZONE, 1.0, service.slots)
        for at in range(service.targets)
    ]
    return Daemon(candidates, [])


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeContext:
    """What an exchange happens in."""

    service: scenario.Service
    traffic: scenario.Traffic
    events: event_queue.EventQueue
    fault_model: faults.FaultModel
    targets: tuple[target_model.TargetModel, ...]
    daemons: tuple[Daemon, ...]
    chooser: choice.TargetChooser
    measured: measurements.Measurements


def _nobody(_now_s: float, _daemon: int, _target: int) -> None:
    """Listen to no new work."""


class Exchange:
    """Sends requests and sees them through to their end."""

    def __init__(self, context: ExchangeContext) -> None:
        """Work in ``context``; ``detector`` must be set before the first send."""
        self.detector: detectors.Detector
        self.on_sent: SentHandler = _nobody
        self._context = context
        self._events = context.events
        self._number = 0

    def arrive(self, request: target_model.SimulatedRequest) -> None:
        """Take a request from a caller."""
        self._context.measured.record_arrival(request.arrived_s)
        self._send(request)

    def drain(self, place: int) -> None:
        """Send what waits at a daemon as far as there are slots."""
        one = self._context.daemons[place]
        waiting = one.waiting
        one.waiting = []
        now_s = self._events.now_s()
        for position, request in enumerate(waiting):
            if now_s - request.arrived_s > _LONGEST_WAIT_S:
                self._context.measured.record_refusal(now_s)
                continue
            self._send(request)
            if one.waiting:
                one.waiting.extend(waiting[position + 1 :])
                return

    def _send(self, request: target_model.SimulatedRequest) -> None:
        one = self._context.daemons[request.daemon]
        chosen = self._context.chooser.choose(one.candidates)
        now_s = self._events.now_s()
        if chosen is None:
            if len(one.waiting) >= _WAITING_LIMIT:
                self._context.measured.record_refusal(now_s)
            else:
                one.waiting.append(request)
            return
        self._number += 1
        request.number = self._number
        request.target = detectors.target_place(chosen)
        request.started_s = now_s
        request.tries += 1
        one.candidates[request.target].in_flight += 1
        self.detector.started(
            request.daemon, request.target, request.route, request.number
        )
        trial = self.detector.is_trial(request.daemon, request.target)
        self._context.measured.record_attempt(
            now_s, request.daemon, request.target, trial
        )
        self.on_sent(now_s, request.daemon, request.target)
        self._reach(request)

    def _reach(self, request: target_model.SimulatedRequest) -> None:
        """The request reaches the target, or is lost on the way."""
        now_s = self._events.now_s()
        target = self._context.targets[request.target]
        slots = self._context.service.slots
        if self._context.fault_model.loses(request, now_s):
            self._plan_end(self._timeout_s(request), request, _End.TIMED_OUT)
        elif self._context.fault_model.crashes(request, now_s):
            self._plan_end(now_s + _CRASH_S, request, _End.CRASH_SUSPECT)
        elif target.running < slots:
            self._begin(target, request)
        elif len(target.queue) < slots:
            target.queue.append(request)
            self._plan_end(self._timeout_s(request), request, _End.TIMED_OUT)
        else:
            self._plan_end(now_s + _SHED_S, request, _End.SHED)

    def _timeout_s(self, request: target_model.SimulatedRequest) -> float:
        return request.started_s + self._context.service.timeout_ms / _MS_PER_S

    def _plan_end(
        self,
        moment_s: float,
        request: target_model.SimulatedRequest,
        end: evidence.AttemptOutcome,
    ) -> None:
        self._events.call_at(
            moment_s, functools.partial(self._end, request, end)
        )

    def _begin(
        self,
        target: target_model.TargetModel,
        request: target_model.SimulatedRequest,
    ) -> None:
        now_s = self._events.now_s()
        target.running += 1
        end = self._context.fault_model.end(request, now_s)
        factor = self._context.fault_model.slow_factor(request, now_s)
        factor *= self._spell_factor(now_s)
        service_ms = target.service_ms(request.route, now_s, factor)
        if end is _End.FAILED or end is _End.WRONG:
            service_ms *= _FAILURE_TIME_SHARE
        finish_s = now_s + service_ms / _MS_PER_S
        timeout_s = self._timeout_s(request)
        if end is _End.TIMED_OUT or finish_s > timeout_s:
            finish_s = timeout_s
            end = _End.TIMED_OUT
        self._events.call_at(
            finish_s,
            functools.partial(self._leave, target, request, end),
        )

    def _spell_factor(self, now_s: float) -> float:
        every_s = self._context.traffic.whole_service_slow_every_s
        if every_s and now_s % every_s > every_s - _SPELL_S:
            return _SPELL_FACTOR
        return 1.0

    def _leave(
        self,
        target: target_model.TargetModel,
        request: target_model.SimulatedRequest,
        end: evidence.AttemptOutcome,
    ) -> None:
        target.running -= 1
        self._end(request, end)
        while target.queue and target.running < self._context.service.slots:
            waiting = target.queue.popleft()
            if not waiting.ended:
                self._begin(target, waiting)

    def _end(
        self,
        request: target_model.SimulatedRequest,
        end: evidence.AttemptOutcome,
    ) -> None:
        if request.ended:
            return
        request.ended = True
        now_s = self._events.now_s()
        one = self._context.daemons[request.daemon]
        one.candidates[request.target].in_flight -= 1
        latency_ms = (now_s - request.started_s) * _MS_PER_S
        seen, seen_ms = self._context.fault_model.as_seen(
            request,
            end,
            latency_ms,
            now_s,
        )
        self.detector.finished(
            request.daemon,
            request.target,
            request.route,
            request.number,
            seen,
            seen_ms,
        )
        if end is _End.SHED and request.tries < _MOST_TRIES:
            one.waiting.append(dataclasses.replace(request, ended=False))
        else:
            total_ms = (now_s - request.arrived_s) * _MS_PER_S
            usual_ms = self._context.service.route_ms[request.route]
            self._context.measured.record_end(now_s, seen, total_ms / usual_ms)
        if one.waiting and end is not _End.SHED:
            self.drain(request.daemon)
