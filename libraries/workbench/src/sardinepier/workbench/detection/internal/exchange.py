"""One request's way: a daemon chooses, a target works, an answer returns."""

import dataclasses
import functools
from collections.abc import Callable
from typing import Final

from sardinepier.core import ids
from sardinepier.health import evidence
from sardinepier.routing import choice
from sardinepier.workbench.detection import judge as judges
from sardinepier.workbench.detection import measures, scenario
from sardinepier.workbench.detection.internal import (
    agenda,
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
    waiting: list[target_model.Work]


def daemon(service: scenario.Service) -> Daemon:
    """Return a daemon that knows all targets of the service."""
    candidates = [
        choice.Candidate(judges.target_name(at), _ZONE, 1.0, service.slots)
        for at in range(service.targets)
    ]
    return Daemon(candidates, [])


@dataclasses.dataclass(frozen=True, slots=True)
class World:
    """What an exchange happens in."""

    service: scenario.Service
    traffic: scenario.Traffic
    agenda: agenda.Agenda
    strike: faults.Strike
    targets: tuple[target_model.TargetModel, ...]
    daemons: tuple[Daemon, ...]
    chooser: choice.TargetChooser
    measured: measures.Measures


def _nobody(_now_s: float, _daemon: int, _target: int) -> None:
    """Listen to no new work."""


class Exchange:
    """Sends requests and sees them through to their end."""

    def __init__(self, world: World) -> None:
        """Work in ``world``; ``judge`` must be set before the first send."""
        self.judge: judges.Judge
        self.on_sent: SentHandler = _nobody
        self._world = world
        self._agenda = world.agenda
        self._number = 0

    def arrive(self, work: target_model.Work) -> None:
        """Take a request from a caller."""
        self._world.measured.arrived(work.arrived_s)
        self._send(work)

    def drain(self, place: int) -> None:
        """Send what waits at a daemon as far as there are slots."""
        one = self._world.daemons[place]
        waiting = one.waiting
        one.waiting = []
        now_s = self._agenda.now_s()
        for position, work in enumerate(waiting):
            if now_s - work.arrived_s > _LONGEST_WAIT_S:
                self._world.measured.refused(now_s)
                continue
            self._send(work)
            if one.waiting:
                one.waiting.extend(waiting[position + 1 :])
                return

    def _send(self, work: target_model.Work) -> None:
        one = self._world.daemons[work.daemon]
        chosen = self._world.chooser.choose(one.candidates)
        now_s = self._agenda.now_s()
        if chosen is None:
            if len(one.waiting) >= _WAITING_LIMIT:
                self._world.measured.refused(now_s)
            else:
                one.waiting.append(work)
            return
        self._number += 1
        work.number = self._number
        work.target = judges.target_place(chosen)
        work.started_s = now_s
        work.tries += 1
        one.candidates[work.target].in_flight += 1
        self.judge.started(work.daemon, work.target, work.route, work.number)
        trial = self.judge.is_trial(work.daemon, work.target)
        self._world.measured.sent(now_s, work.daemon, work.target, trial)
        self.on_sent(now_s, work.daemon, work.target)
        self._reach(work)

    def _reach(self, work: target_model.Work) -> None:
        """The request reaches the target, or is lost on the way."""
        now_s = self._agenda.now_s()
        target = self._world.targets[work.target]
        slots = self._world.service.slots
        if self._world.strike.loses(work, now_s):
            self._plan_end(self._timeout_s(work), work, _End.TIMED_OUT)
        elif self._world.strike.crashes(work, now_s):
            self._plan_end(now_s + _CRASH_S, work, _End.CRASH_SUSPECT)
        elif target.running < slots:
            self._begin(target, work)
        elif len(target.queue) < slots:
            target.queue.append(work)
            self._plan_end(self._timeout_s(work), work, _End.TIMED_OUT)
        else:
            self._plan_end(now_s + _SHED_S, work, _End.SHED)

    def _timeout_s(self, work: target_model.Work) -> float:
        return work.started_s + self._world.service.timeout_ms / _MS_PER_S

    def _plan_end(
        self,
        moment_s: float,
        work: target_model.Work,
        end: evidence.AttemptOutcome,
    ) -> None:
        self._agenda.at(moment_s, functools.partial(self._end, work, end))

    def _begin(
        self,
        target: target_model.TargetModel,
        work: target_model.Work,
    ) -> None:
        now_s = self._agenda.now_s()
        target.running += 1
        end = self._world.strike.end(work, now_s)
        factor = self._world.strike.slow_factor(work, now_s)
        factor *= self._spell_factor(now_s)
        service_ms = target.service_ms(work.route, now_s, factor)
        if end is _End.FAILED or end is _End.WRONG:
            service_ms *= _FAILURE_TIME_SHARE
        finish_s = now_s + service_ms / _MS_PER_S
        timeout_s = self._timeout_s(work)
        if end is _End.TIMED_OUT or finish_s > timeout_s:
            finish_s = timeout_s
            end = _End.TIMED_OUT
        self._agenda.at(
            finish_s,
            functools.partial(self._leave, target, work, end),
        )

    def _spell_factor(self, now_s: float) -> float:
        every_s = self._world.traffic.whole_service_slow_every_s
        if every_s and now_s % every_s > every_s - _SPELL_S:
            return _SPELL_FACTOR
        return 1.0

    def _leave(
        self,
        target: target_model.TargetModel,
        work: target_model.Work,
        end: evidence.AttemptOutcome,
    ) -> None:
        target.running -= 1
        self._end(work, end)
        while target.queue and target.running < self._world.service.slots:
            waiting = target.queue.popleft()
            if not waiting.ended:
                self._begin(target, waiting)

    def _end(
        self, work: target_model.Work, end: evidence.AttemptOutcome
    ) -> None:
        if work.ended:
            return
        work.ended = True
        now_s = self._agenda.now_s()
        one = self._world.daemons[work.daemon]
        one.candidates[work.target].in_flight -= 1
        latency_ms = (now_s - work.started_s) * _MS_PER_S
        seen, seen_ms = self._world.strike.as_seen(
            work,
            end,
            latency_ms,
            now_s,
        )
        self.judge.finished(
            work.daemon,
            work.target,
            work.route,
            work.number,
            seen,
            seen_ms,
        )
        if end is _End.SHED and work.tries < _MOST_TRIES:
            one.waiting.append(dataclasses.replace(work, ended=False))
        else:
            total_ms = (now_s - work.arrived_s) * _MS_PER_S
            usual_ms = self._world.service.route_ms[work.route]
            self._world.measured.ended(now_s, seen, total_ms / usual_ms)
        if one.waiting and end is not _End.SHED:
            self.drain(work.daemon)
