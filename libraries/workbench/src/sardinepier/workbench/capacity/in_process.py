"""All measurements that fit into this one process."""

import asyncio
import pathlib
import sys
from collections.abc import Callable

from sardinepier.workbench.capacity import (
    parts,
    parts_configuration,
    parts_health,
    parts_membership,
    parts_pages,
    parts_tables,
    parts_wire,
)
from sardinepier.workbench.capacity import hub as hubs
from sardinepier.workbench.capacity import samples as kept_samples
from sardinepier.workbench.capacity import spread

_Measure = Callable[[], parts.Part]


def measure(output: pathlib.Path, seed: int, quick: bool) -> None:
    """Measure part by part; the results replace those of the last run."""
    (output / kept_samples.PARTS_FILE).unlink(missing_ok=True)
    measured: tuple[_Measure, ...] = (
        lambda: parts_health.measure(quick),
        lambda: parts_configuration.measure(quick),
        lambda: parts_membership.measure(quick),
        lambda: parts_pages.measure(quick),
        lambda: parts_tables.measure(quick),
        lambda: asyncio.run(parts_wire.measure(quick)),
        lambda: hubs.measure(seed, quick),
        lambda: spread.measure(quick),
    )
    for measure_part in measured:
        for sample in measure_part().samples:
            kept_samples.append(output, kept_samples.PARTS_FILE, sample)
            sys.stderr.write(f'{_line(sample)}\n')


def _line(sample: kept_samples.PartSample) -> str:
    return (
        f'{sample.part:20} {sample.name:44} {sample.size:7.0f} '
        f'{sample.amount:13.1f} {sample.unit} (spread {sample.deviation:.1f})'
    )
