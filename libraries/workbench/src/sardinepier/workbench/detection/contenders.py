"""Contenders: the library with both users' settings, and the rival rules."""

import dataclasses
import functools
import itertools
from collections.abc import Callable
from typing import Final

from sardinepier.core import clock as core_clock
from sardinepier.health import options as health_options
from sardinepier.workbench.detection import detector, pooled, rules, scenario

RED_TESIS_PER_DAY: Final = 0.01
KLOOFNEK_PER_DAY: Final = 1.0
CURVE_PER_DAY: Final = (1e5, 1e3, 30.0)
_WINDOW_S: Final = 10.0

DetectorFactory = Callable[
    [scenario.Service, int, core_clock.Clock],
    detector.Detector,
]


@dataclasses.dataclass(frozen=True, slots=True)
class Contender:
    """A named factory of detectors for a service, a seed and a clock."""

    name: str
    make: DetectorFactory


def group(per_day: float, alone: bool = False) -> Contender:
    """Return the library with a tolerated rate of false ejections.

    With ``alone``, daemons don't exchange reports.
    """
    kind = 'alone' if alone else 'group'
    return Contender(
        f'{kind} {per_day:g}/day',
        functools.partial(_make_pooled_detector, per_day, alone),
    )


def _make_pooled_detector(
    per_day: float,
    alone: bool,
    service: scenario.Service,
    seed: int,
    clock: core_clock.Clock,
) -> detector.Detector:
    options = health_options.HealthOptions(
        false_ejections_per_target_day=per_day,
    )
    return pooled.PooledDetector(service, options, seed, clock, alone)


def rivals() -> tuple[Contender, ...]:
    """Return the rival rules over their usual range of settings."""
    rule_contenders = [
        _rule_contender(f'consecutive {limit}', _consecutive(limit))
        for limit in (2, 3, 5, 8, 12)
    ]
    for share, minimum in itertools.product((0.1, 0.2, 0.3, 0.5), (10, 30)):
        name = f'rate {share:.0%} of {minimum}'
        rule_contenders.append(
            _rule_contender(name, _error_rate(share, minimum))
        )
    for quantile, factor in itertools.product((0.5, 0.9), (1.5, 2, 3, 5)):
        name = f'p{quantile * 100:.0f} over {factor:g}x mean'
        rule_contenders.append(
            _rule_contender(name, _latency(quantile, factor))
        )
    return tuple(rule_contenders)


_RuleFactory = Callable[[], rules.Rule]


def _consecutive(limit: int) -> _RuleFactory:
    return lambda: rules.ConsecutiveErrors(limit)


def _error_rate(share: float, minimum: int) -> _RuleFactory:
    return lambda: rules.ErrorRate(share, minimum, _WINDOW_S)


def _latency(quantile: float, factor: float) -> _RuleFactory:
    return lambda: rules.LatencyQuantile(quantile, factor, 10, _WINDOW_S)


def _rule_contender(name: str, make_rule: _RuleFactory) -> Contender:
    return Contender(name, functools.partial(_make_rule_detector, make_rule))


def _make_rule_detector(
    make_rule: _RuleFactory,
    service: scenario.Service,
    _seed: int,
    _clock: core_clock.Clock,
) -> detector.Detector:
    daemons = [make_rule() for _ in range(service.daemons)]
    return rules.RuleDetector(daemons, service.targets)
