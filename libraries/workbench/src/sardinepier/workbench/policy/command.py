"""Play scenarios, and compare variants of the decision path on them."""

import math
import statistics
import sys
from collections.abc import Sequence
from typing import Final

from sardinepier.telemetry import logs
from sardinepier.workbench.policy import (
    emulation,
    floor,
    overrides,
    scenario,
    tally,
)

TEXT_OPTIONS: Final = ('scenario_name', 'variant')
_SIGMAS: Final = 1.96
_ALL: Final = 'all'


def run(
    scenario_name: str = _ALL,
    seeds: int = 3,
    variant: str = '',
) -> None:
    """Print what callers get, and how a variant differs.

    ``scenario_name`` is a file, the name of a shipped scenario or ``all`` of
    these. ``variant`` has figures to set, ``library.module.NAME=number`` with
    commas between. Both are played with the same ``seeds``; the difference
    is printed with the bounds of its 95 % confidence interval.
    """
    logs.configure('error', '', stream=sys.stderr)
    names = [scenario_name]
    if scenario_name == _ALL:
        names = scenario.shipped_names()
    changed = [one for one in variant.split(',') if one]
    for name in names:
        setup = scenario.load(name)
        plain = [emulation.emulate(setup, seed) for seed in range(seeds)]
        sys.stdout.write(f'{name}: {_summary(plain)}\n')
        if changed:
            with overrides.applied(changed):
                other = [
                    emulation.emulate(setup, seed) for seed in range(seeds)
                ]
            sys.stdout.write(f'{name}, changed: {_summary(other)}\n')
            sys.stdout.write(f'{name}: {_difference(plain, other)}\n')
        sys.stdout.flush()


def _summary(played: Sequence[tally.Tally]) -> str:
    total = tally.Count()
    for counts in played:
        total.requests += counts.total.requests
        total.served += counts.total.served
        total.refused += counts.total.refused
    worth = statistics.fmean(each.worth() for each in played)
    shares = {
        name: statistics.fmean(each.by_class[name].share for each in played)
        for name in played[0].by_class
    }
    classes = ' '.join(f'{name} {share:.3f}' for name, share in shares.items())
    return (
        f'worth {worth:.3f}, served {total.served / total.requests:.4f}, '
        f'refused {total.refused / total.requests:.4f}, '
        f'failed {total.failed / total.requests:.4f}; {classes}; '
        f'{floor.summary([each.floor for each in played])}'
    )


def _difference(
    plain: Sequence[tally.Tally],
    other: Sequence[tally.Tally],
) -> str:
    gains = [
        changed.worth() - before.worth()
        for before, changed in zip(plain, other, strict=True)
    ]
    mean = statistics.fmean(gains)
    if len(gains) < 2:
        return f'the change is worth {mean:+.4f} (one seed)'
    half = _SIGMAS * statistics.stdev(gains) / math.sqrt(len(gains))
    return f'the change is worth {mean:+.4f} +- {half:.4f}'
