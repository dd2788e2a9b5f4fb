"""Simulations of incidents under load, one table each."""

import itertools
from collections.abc import Sequence
from typing import Final

from sardinepier.workbench.load import (
    runs,
    scenario,
    simulation,
    tables,
    tally,
)

_LOADS: Final = (70, 95, 150)
_NORMAL_PERCENT: Final = 70
_OVERLOAD_PERCENT: Final = 150
_FLOOD_PERCENT: Final = 140
_STORM_PERCENT: Final = 50
_NO_LIMIT: Final = 0
_CALLER_LIMIT_PER_S: Final = 2
_UNLIMITED_BUDGET_PERCENT: Final = 100
_RECOVERY_S: Final = 30
_BEFORE_S: Final = (5, 20)
_OVERLOAD_S: Final = (20, 40)
_LOST_PERCENT: Final = 1
_SLOW_FACTOR: Final = 1.5
_CONSECUTIVE_S: Final = 3

_HIGH: Final = 0
_NORMAL: Final = 1
_LOW: Final = 2

_SIGN_OFF_PERCENT: Final = 30
_REPORT_PERCENT: Final = 70
_REPORT_DEADLINE_MS: Final = 30_000
_HALF_PERCENT: Final = 50

_SIGN_OFF: Final = scenario.CallerClass(
    'sign-off', _HIGH, percent=_SIGN_OFF_PERCENT
)
_REPORT: Final = scenario.CallerClass(
    'overnight report',
    _LOW,
    percent=_REPORT_PERCENT,
    deadline_ms=_REPORT_DEADLINE_MS,
)
_REPORT_SAME_PRIORITY: Final = scenario.CallerClass(
    'overnight report',
    _HIGH,
    percent=_REPORT_PERCENT,
)
_NORMAL_CALLERS: Final = scenario.CallerClass(
    '100 others', _NORMAL, percent=_HALF_PERCENT
)
_FLOODING_CALLER: Final = scenario.CallerClass(
    'flooding caller',
    _NORMAL,
    percent=_HALF_PERCENT,
    callers=1,
)


class Incidents:
    """Simulates the incidents; each method returns its table."""

    def __init__(self, seed: int, quick: bool) -> None:
        """Use ``seed`` for all runs; ``quick`` runs are shorter."""
        self._runs = runs.RunFactory(seed, quick)

    def priorities(self) -> tables.Table:
        """Mix sign-offs and overnight reports, with and without priority."""
        rows: list[list[str]] = []
        variants = {
            'by priority': (_SIGN_OFF, _REPORT),
            'one priority and deadline': (_SIGN_OFF, _REPORT_SAME_PRIORITY),
        }
        for load_percent, name in itertools.product(_LOADS, variants):
            classes = variants[name]
            run = self._runs.run(
                scenario.REPORTING,
                load_percent,
                classes=classes,
            )
            rows.extend(_class_rows((f'{load_percent} %', name), run, classes))
        return tables.Table(
            'Priorities: Kloofnek reporting, 30 % sign-offs',
            ('load', 'queue', 'class', *tables.LATENCY_HEADER),
            rows,
        )

    def flood(self) -> tables.Table:
        """Add a caller with 100 times its share to 100 others at 70 % load."""
        both = (_NORMAL_CALLERS, _FLOODING_CALLER)
        variants = {
            'no flood': (_NORMAL_PERCENT, both[:1], _NO_LIMIT),
            'flood, no limit': (_FLOOD_PERCENT, both, _NO_LIMIT),
            'flood, 2 a second a daemon': (
                _FLOOD_PERCENT,
                both,
                _CALLER_LIMIT_PER_S,
            ),
        }
        rows: list[list[str]] = []
        for name, (load_percent, classes, limit) in variants.items():
            run = self._runs.run(
                scenario.SEARCH,
                load_percent,
                classes=classes,
                caller_requests_per_s=limit,
            )
            rows.extend(_class_rows((name,), run, classes))
        return tables.Table(
            'One caller with 100 times its share: Red Tesis search',
            ('variant', 'class', *tables.LATENCY_HEADER),
            rows,
        )

    def storm(self) -> tables.Table:
        """Measure attempts per request while attempts fail."""
        cases = itertools.product(
            (50, 100), (9, 48), (10, _UNLIMITED_BUDGET_PERCENT)
        )
        rows: list[list[str]] = []
        for failing_percent, daemons, budget_percent in cases:
            run = self._runs.run(
                scenario.SEARCH,
                _STORM_PERCENT,
                failing_percent,
                daemons=daemons,
                retry_budget_percent=budget_percent,
            )
            lost_percent = tally.figures(run.counts.ended).lost_percent
            rows.append(
                [
                    f'{failing_percent} %',
                    f'{daemons}',
                    f'{budget_percent} %',
                    f'{run.counts.amplification():.3f}',
                    f'{lost_percent:.2f}',
                ]
            )
        return tables.Table(
            'Retry storm: Red Tesis search at 50 % load',
            (
                'failing attempts',
                'daemons',
                'retry budget',
                'attempts a request',
                'lost %',
            ),
            rows,
        )

    def recovery(self) -> tables.Table:
        """Measure the seconds until recovery after 20 s of 150 % load."""
        services = scenario.SERVICES[: 1 if self._runs.quick else None]
        cases = itertools.product(services, (3, 9))
        return tables.Table(
            'Recovery: 70 %, then 150 % for 20 s, then 70 %',
            (
                'service',
                'daemons',
                'p99 ms before',
                'lost % during',
                's until under 1 % are lost',
                's until p99 is at most 1.5 times as before',
            ),
            [self._recover(service, daemons) for service, daemons in cases],
        )

    def _recover(self, service: scenario.Service, daemons: int) -> list[str]:
        start_s, end_s = _OVERLOAD_S
        phases = (
            scenario.Phase(start_s, _NORMAL_PERCENT),
            scenario.Phase(end_s - start_s, _OVERLOAD_PERCENT),
            scenario.Phase(_RECOVERY_S, _NORMAL_PERCENT),
        )
        setup = scenario.Scenario(
            service,
            phases,
            daemons=daemons,
            seed=self._runs.seed,
        )
        counts = simulation.Simulation(setup).run()
        before = tally.figures(counts.between(*_BEFORE_S))
        during = tally.figures(counts.between(start_s, end_s))
        seconds = [
            tally.figures(counts.between(second_s, second_s + 1))
            for second_s in range(end_s, end_s + _RECOVERY_S)
        ]
        slow_ms = before.p99_ms * _SLOW_FACTOR
        return [
            service.name,
            f'{daemons}',
            f'{before.p99_ms:.0f}',
            f'{during.lost_percent:.1f}',
            _first_stable_second(
                [figures.lost_percent < _LOST_PERCENT for figures in seconds]
            ),
            _first_stable_second(
                [figures.p99_ms <= slow_ms for figures in seconds]
            ),
        ]


def _class_rows(
    labels: Sequence[str],
    run: simulation.Simulation,
    classes: Sequence[scenario.CallerClass],
) -> list[list[str]]:
    return [
        [
            *labels,
            caller_class.name,
            *tables.latency_cells(run.counts.of_class(caller_class.name)),
        ]
        for caller_class in classes
    ]


def _first_stable_second(fulfilled: Sequence[bool]) -> str:
    """Return the first second of three in a row that fulfil the condition."""
    for second, _ in enumerate(fulfilled):
        if all(fulfilled[second : second + _CONSECUTIVE_S]):
            return f'{second}'
    return f'over {len(fulfilled)}'
