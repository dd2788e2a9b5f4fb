"""Who takes part: the library as both users set it, and the rival rules."""

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

Maker = Callable[
    [scenario.Service, int, core_clock.Clock],
    detector.Detector,
]


@dataclasses.dataclass(frozen=True, slots=True)
class Contender:
    """A name and how to make its judge for a service, a seed and a clock."""

    name: str
    make: Maker


def group(per_day: float, alone: bool = False) -> Contender:
    """Return the library at a tolerated rate of false ejections."""
    kind = 'alone' if alone else 'group'
    return Contender(
        f'{kind} {per_day:g}/day',
        functools.partial(_pooled, per_day, alone),
    )


def _pooled(
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
    """Return the rival rules over the range in which users tune them."""
    found = [
        _rule(f'consecutive {limit}', _consecutive(limit))
        for limit in (2, 3, 5, 8, 12)
    ]
    for share, minimum in itertools.product((0.1, 0.2, 0.3, 0.5), (10, 30)):
        name = f'rate {share:.0%} of {minimum}'
        found.append(_rule(name, _error_rate(share, minimum)))
    for quantile, factor in itertools.product((0.5, 0.9), (1.5, 2, 3, 5)):
        name = f'p{quantile * 100:.0f} over {factor:g}x mean'
        found.append(_rule(name, _latency(quantile, factor)))
    return tuple(found)


_RuleMaker = Callable[[], rules.Rule]


def _consecutive(limit: int) -> _RuleMaker:
    return lambda: rules.ConsecutiveErrors(limit)


def _error_rate(share: float, minimum: int) -> _RuleMaker:
    return lambda: rules.ErrorRate(share, minimum, _WINDOW_S)


def _latency(quantile: float, factor: float) -> _RuleMaker:
    return lambda: rules.LatencyQuantile(quantile, factor, 10, _WINDOW_S)


def _rule(name: str, make_rule: _RuleMaker) -> Contender:
    return Contender(name, functools.partial(_detector_of, make_rule))


def _detector_of(
    make_rule: _RuleMaker,
    service: scenario.Service,
    _seed: int,
    _clock: core_clock.Clock,
) -> detector.Detector:
    daemons = [make_rule() for _ in range(service.daemons)]
    return rules.RuleDetector(daemons, service.targets)
