"""Emulates scenarios, and compares variants of the decision path on them."""

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
_CONFIDENCE_SIGMAS: Final = 1.96
_ALL: Final = 'all'


def run(
    scenario_name: str = _ALL,
    seeds: int = 3,
    variant: str = '',
) -> None:
    """Print the results that callers get, and how a variant differs.

    ``scenario_name`` is a file, the name of a shipped scenario, or ``all`` for
    all shipped scenarios. ``variant`` lists constants to override, as
    ``library.module.NAME=number`` separated by commas. Both variants run with
    the same ``seeds``; the difference is printed with its 95 % confidence
    interval.
    """
    logs.configure('error', '', stream=sys.stderr)
    names = [scenario_name]
    if scenario_name == _ALL:
        names = scenario.shipped_names()
    variant_overrides = [text for text in variant.split(',') if text]
    for name in names:
        setup = scenario.load(name)
        baseline = [emulation.emulate(setup, seed) for seed in range(seeds)]
        sys.stdout.write(f'{name}: {_summary(baseline)}\n')
        if variant_overrides:
            with overrides.applied(variant_overrides):
                varied = [
                    emulation.emulate(setup, seed) for seed in range(seeds)
                ]
            sys.stdout.write(f'{name}, changed: {_summary(varied)}\n')
            sys.stdout.write(f'{name}: {_difference(baseline, varied)}\n')
        sys.stdout.flush()


def _summary(tallies: Sequence[tally.Tally]) -> str:
    total = tally.Count()
    for counts in tallies:
        total.requests += counts.total.requests
        total.served += counts.total.served
        total.in_time += counts.total.in_time
        total.refused += counts.total.refused
    worth = statistics.fmean(played.worth() for played in tallies)
    shares = {
        name: statistics.fmean(
            played.by_class[name].share for played in tallies
        )
        for name in tallies[0].by_class
    }
    classes = ' '.join(f'{name} {share:.3f}' for name, share in shares.items())
    return (
        f'worth {worth:.3f}, served {total.served / total.requests:.4f}, '
        f'in time {total.in_time / total.requests:.4f}, '
        f'refused {total.refused / total.requests:.4f}, '
        f'failed {total.failed / total.requests:.4f}; {classes}; '
        f'{floor.summary([played.floor for played in tallies])}'
    )


def _difference(
    baseline: Sequence[tally.Tally],
    varied: Sequence[tally.Tally],
) -> str:
    gains = [
        changed.worth() - before.worth()
        for before, changed in zip(baseline, varied, strict=True)
    ]
    mean = statistics.fmean(gains)
    if len(gains) < 2:
        return f'the change is worth {mean:+.4f} (one seed)'
    half_width = (
        _CONFIDENCE_SIGMAS * statistics.stdev(gains) / math.sqrt(len(gains))
    )
    return f'the change is worth {mean:+.4f} +- {half_width:.4f}'
