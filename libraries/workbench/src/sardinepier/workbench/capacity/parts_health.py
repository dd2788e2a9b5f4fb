"""What judging one service costs, by targets and by observers."""

import functools
import random
from typing import Final

import msgspec

from sardinepier.core import clock, ids
from sardinepier.daemon.internal import group_messages, report_codec
from sardinepier.health import evidence, options, service_health, targets
from sardinepier.workbench.capacity import parts, units

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
_NAME: Final = ids.ServiceName('service-123')


class Service:
    """One daemon's judge of a service, with peers that report to it."""

    def __init__(self, target_count: int, observer_count: int) -> None:
        """Make targets that have been in service for a while."""
        self.clock = clock.ManualClock(start_s=_START_S)
        self.health = service_health.ServiceHealth(
            _NAME,
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

    def work_everywhere(self) -> None:
        """Finish a good attempt at each target, and judge."""
        for name in self.names:
            self._attempt_at(name)
        self.tick()

    def _warm_up(self) -> None:
        for _ in range(_WARM_UP_TICKS):
            self.work_everywhere()

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
    _measure_reports(part, service, count)
    part.held(
        'state with 27 observers',
        count,
        functools.partial(Service, count, _MOST_OBSERVERS),
    )


def _measure_reports(part: parts.Part, service: Service, count: int) -> None:
    """Measure a whole report, one with news of all targets, one without."""
    writer = report_codec.ReportWriter()
    now_s = service.clock.monotonic_s()
    for name, prepare in (
        ('whole report', _do_nothing),
        ('report without news', _do_nothing),
        ('report with news of all', service.work_everywhere),
    ):
        prepare()
        message = writer.write(_NAME, service.health.report(), now_s)
        encoded = msgspec.msgpack.encode(message)
        part.amount(name, count, len(encoded), units.BYTES)
    decoder = msgspec.msgpack.Decoder(group_messages.GroupReport)
    part.cost(
        'report with news of all decoded',
        count,
        functools.partial(decoder.decode, encoded),
    )


def _do_nothing() -> None:
    """Leave the service as it is."""
