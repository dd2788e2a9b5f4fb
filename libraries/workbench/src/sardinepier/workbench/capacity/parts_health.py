"""What judging one service costs, by targets and by observers."""

import functools
import random
from typing import Final

import msgspec

from sardinepier.core import clock, ids
from sardinepier.health import evidence, options, service_health, targets
from sardinepier.workbench.capacity import parts

_TARGETS: Final = (6, 16, 47, 94)
_OBSERVERS: Final = (9, 18, 27)
_MOST_OBSERVERS: Final = 27
_FEW_OBSERVERS: Final = 9
_USUAL_TARGETS: Final = 47
_START_S: Final = 1000.0
_TICK_S: Final = 0.1
_SLOTS: Final = 3
_BUSY_TARGETS: Final = 4
_LATENCY_MS: Final = 12.0
_WARM_UP_TICKS: Final = 300
_ROUTE: Final = ids.RouteName('search')


class Service:
    """One daemon's judge of a service, with peers that report to it."""

    def __init__(self, target_count: int, observer_count: int) -> None:
        """Make targets that have been in service for a while."""
        self.clock = clock.ManualClock(start_s=_START_S)
        self.health = service_health.ServiceHealth(
            ids.ServiceName('service-123'),
            ids.InstanceId('entry-0001~00c0ffee00c0ffee'),
            options.HealthOptions(),
            self.clock,
            random.Random(1),
            lambda event: None,
        )
        self.names = [
            ids.TargetId(f'worker-{number}') for number in range(target_count)
        ]
        self.health.set_targets(
            targets.TargetIdentity(
                name,
                ids.TargetIncarnation(f'i-{number:014x}'),
                _SLOTS,
            )
            for number, name in enumerate(self.names)
        )
        self._observers = [
            ids.InstanceId(f'entry-{number:04}~00c0ffee00c0ffee')
            for number in range(1, observer_count)
        ]
        self._attempt = 0
        self._sequence = 0
        self.hear_all()
        self._warm_up()

    def tick(self) -> None:
        """Let a tick's time pass, and judge."""
        self.clock.advance(_TICK_S)
        self.health.tick()

    def busy_tick(self) -> None:
        """Judge after an attempt at each of a few targets."""
        for name in self.names[:_BUSY_TARGETS]:
            self._attempt_at(name)
        self.tick()

    def hear_all(self) -> None:
        """Hear a newer report of every observer."""
        self._sequence += 1
        report = msgspec.structs.replace(
            self.health.report(),
            sequence=self._sequence,
        )
        for observer in self._observers:
            self.health.heard(observer, report)

    def _warm_up(self) -> None:
        for _ in range(_WARM_UP_TICKS):
            for name in self.names:
                self._attempt_at(name)
            self.tick()

    def _attempt_at(self, name: ids.TargetId) -> None:
        self._attempt += 1
        self.health.started(name, _ROUTE, self._attempt)
        self.health.finished(
            name,
            _ROUTE,
            self._attempt,
            evidence.AttemptEnd.ANSWERED,
            _LATENCY_MS,
        )


def measure(quick: bool) -> parts.Part:
    """Measure a tick, a report and its merging at several sizes."""
    part = parts.Part('health')
    for count in _TARGETS[: 2 if quick else None]:
        _measure_targets(part, count)
    for observer_count in _OBSERVERS:
        service = Service(_USUAL_TARGETS, observer_count)
        part.cost('idle tick, 47 targets', observer_count, service.tick)
        part.cost(
            'a report of each peer heard, 47 targets',
            observer_count,
            service.hear_all,
        )
    return part


def _measure_targets(part: parts.Part, count: int) -> None:
    service = Service(count, _FEW_OBSERVERS)
    health = service.health
    part.cost('idle tick', count, service.tick)
    part.cost('tick with 4 attempts', count, service.busy_tick)
    part.cost('due_probes', count, health.due_probes)
    part.cost('report made', count, health.report)
    part.cost('reports of 8 peers heard', count, service.hear_all)
    report = health.report()
    encoded = msgspec.msgpack.encode(report)
    decoder = msgspec.msgpack.Decoder(evidence.EvidenceReport)
    part.amount('report', count, len(encoded), 'bytes')
    part.cost(
        'report encoded',
        count,
        functools.partial(msgspec.msgpack.encode, report),
    )
    part.cost(
        'report decoded',
        count,
        functools.partial(decoder.decode, encoded),
    )
    part.held(
        'state with 27 observers',
        count,
        functools.partial(Service, count, _MOST_OBSERVERS),
    )
