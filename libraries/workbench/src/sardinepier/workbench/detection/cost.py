"""Measures the time of a decision for growing numbers of targets and routes."""

import random
import time
from collections.abc import Callable
from typing import Final

import msgspec

from sardinepier.core import clock as core_clock
from sardinepier.core import ids
from sardinepier.health import evidence, service_health, targets
from sardinepier.health import options as health_options
from sardinepier.workbench.detection import detector

_TARGETS: Final = (6, 16, 47, 1000)
_ROUTES: Final = (10, 100, 1000, 10000)
_PEERS: Final = 8
_TICK_S: Final = 0.1
_REQUESTS_A_TICK: Final = 20
_TICKS: Final = 50
_US_PER_S: Final = 1e6


def table(seed: int = 1) -> str:
    """Measure and return a table of microseconds.

    ``request`` is one call of ``started`` and of ``finished``. ``heard`` is
    the receipt of one peer's report on all targets, averaged over eight peers.
    """
    lines = [
        f'{"targets":>8s} {"routes":>8s} {"request us":>11s} {"tick us":>9s} '
        f'{"report us":>10s} {"heard us":>9s} {"report bytes":>13s}',
    ]
    for target_count in _TARGETS:
        lines.append(_Benchmark(target_count, _ROUTES[0], seed).line())
    for route_count in _ROUTES[1:]:
        lines.append(_Benchmark(_TARGETS[1], route_count, seed).line())
    return '\n'.join(lines)


class _Benchmark:
    def __init__(self, target_count: int, route_count: int, seed: int) -> None:
        self._routes = [
            detector.route_name(index) for index in range(route_count)
        ]
        self._names = [
            detector.target_name(index) for index in range(target_count)
        ]
        self._random = random.Random(seed)
        self._clock = core_clock.ManualClock()
        self._attempt = 0
        self._health = self._make_health('d0~0')
        self._peer = self._make_health('d1~0')

    def line(self) -> str:
        """Return the table's line for this size."""
        request_us = 0.0
        tick_us = 0.0
        report_us = 0.0
        receive_us = 0.0
        for _ in range(_TICKS):
            self._clock.advance(_TICK_S)
            request_us += _timed(self._requests, self._health)
            self._requests(self._peer)
            self._peer.tick()
            report_us += _timed(self._health.report)
            receive_us += _timed(self._receive_from_peers, self._peer.report())
            tick_us += _timed(self._health.tick)
        size = len(msgspec.msgpack.encode(self._health.report()))
        return (
            f'{len(self._names):8d} {len(self._routes):8d} '
            f'{request_us / _TICKS / _REQUESTS_A_TICK:11.1f} '
            f'{tick_us / _TICKS:9.0f} {report_us / _TICKS:10.0f} '
            f'{receive_us / _TICKS / _PEERS:9.0f} {size:13d}'
        )

    def _make_health(self, observer: str) -> service_health.ServiceHealth:
        health = service_health.ServiceHealth(
            ids.ServiceName('service'),
            ids.InstanceId(observer),
            health_options.HealthOptions(routes_limit=_ROUTES[-1]),
            self._clock,
            random.Random(1),
            _ignore,
        )
        incarnation = ids.TargetIncarnation('a')
        health.set_targets(
            targets.TargetIdentity(name, incarnation, 3) for name in self._names
        )
        return health

    def _requests(self, health: service_health.ServiceHealth) -> None:
        for _ in range(_REQUESTS_A_TICK):
            self._attempt += 1
            target_id = self._random.choice(self._names)
            route = self._random.choice(self._routes)
            health.started(target_id, route, self._attempt)
            health.finished(
                target_id,
                route,
                self._attempt,
                evidence.AttemptOutcome.ANSWERED,
                self._random.lognormvariate(4, 0.5),
            )

    def _receive_from_peers(self, report: evidence.EvidenceReport) -> None:
        for peer in range(_PEERS):
            self._health.receive_report(ids.InstanceId(f'p{peer}~0'), report)


def _timed(action: Callable[..., object], *arguments: object) -> float:
    begin_s = time.perf_counter()
    action(*arguments)
    return (time.perf_counter() - begin_s) * _US_PER_S


def _ignore(_event: object) -> None:
    """Drop the event."""
