"""The detection experiment: all contenders over all faults and traffic."""

import dataclasses
import pathlib
from collections.abc import Iterator, Sequence
from typing import Final

import msgspec

from sardinepier.workbench.detection import (
    contenders,
    curve,
    driver,
    records,
    scenario,
    shadow_run,
    tables,
)

FAULT_AT_S: Final = 30.0
FAULT_END_S: Final = 60.0
_HEALTHY_S: Final = 120.0
_QUICK_HEALTHY_S: Final = 30.0
_QUICK_FAULTS: Final = 4
_NEVER_S: Final = 1e9
NOTHING: Final = scenario.Fault(
    'none',
    scenario.Effect.NOTHING,
    sick=False,
)
FAULTS: Final = scenario.FAULTS


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """All records of an experiment."""

    records: tuple[records.Record, ...]

    def render(self) -> str:
        """Return the tables as text."""
        return tables.render(self.records)


def run(
    seed: int,
    output_directory: str | None,
    quick: bool,
) -> Result:
    """Run the experiment; write records and curve to ``output_directory``.

    ``quick`` runs a few faults at one load within a minute, as a check that
    the experiment works. Otherwise every fault runs once at 30% load with
    sixteen targets, which takes some minutes. Runs over more seeds, sizes and
    loads, as for the design note, are in :mod:`command`.
    """
    service = scenario.SERVICES[0 if quick else 2]
    faults = FAULTS[::_QUICK_FAULTS] if quick else FAULTS
    healthy_s = _QUICK_HEALTHY_S if quick else _HEALTHY_S
    plans = [
        driver.Plan(
            service,
            scenario.LOADS[1],
            fault,
            FAULT_AT_S,
            FAULT_END_S,
            seed,
        )
        for fault in faults
    ]
    plans.extend(healthy_plans(scenario.SERVICES[0], healthy_s, seed))
    all_records = tuple(run_plans(plans, users()))
    if output_directory is not None:
        directory = pathlib.Path(output_directory)
        directory.mkdir(parents=True, exist_ok=True)
        write(all_records, directory / 'detection.jsonl')
        curve.draw(all_records, directory / 'detection-curve.svg')
    return Result(all_records)


def users() -> tuple[contenders.Contender, ...]:
    """Return the library with both users' settings, and without reports."""
    return (
        contenders.group(contenders.RED_TESIS_PER_DAY),
        contenders.group(contenders.KLOOFNEK_PER_DAY),
        contenders.group(contenders.RED_TESIS_PER_DAY, alone=True),
    )


def healthy_plans(
    service: scenario.Service,
    length_s: float,
    seed: int,
) -> list[driver.Plan]:
    """Return a run without a fault for each kind of healthy traffic."""
    return [
        driver.Plan(service, traffic, NOTHING, _NEVER_S, length_s, seed)
        for traffic in scenario.HEALTHY_TRAFFIC
    ]


def run_plans(
    plans: Sequence[driver.Plan],
    acting: Sequence[contenders.Contender],
    with_rivals: bool = True,
) -> Iterator[records.Record]:
    """Run each plan with each acting contender, then for all rivals at once.

    The detector of an acting contender sets the weights of targets.
    """
    for plan in plans:
        for contender in acting:
            yield run_one(plan, contender)
        if with_rivals:
            yield from shadow_run.run(plan, contenders.rivals())


def run_one(
    plan: driver.Plan,
    contender: contenders.Contender,
) -> records.Record:
    """Run one plan in which one contender sets the weights of targets."""
    run_driver = driver.Driver(plan)
    run_driver.attach(contender.make(plan.service, plan.seed, run_driver.clock))
    measured = run_driver.run()
    key = (plan.service, plan.traffic, plan.fault, plan.seed)
    return records.record(contender.name, key, measured)


def write(all_records: Sequence[records.Record], path: pathlib.Path) -> None:
    """Write the records as one JSON object per line."""
    encoder = msgspec.json.Encoder()
    with path.open('wb') as lines:
        for record in all_records:
            lines.write(encoder.encode(record))
            lines.write(b'\n')


def read(path: pathlib.Path) -> tuple[records.Record, ...]:
    """Read the records in a file of ``write``."""
    decoder = msgspec.json.Decoder(records.Record)
    return tuple(
        decoder.decode(line) for line in path.read_bytes().splitlines()
    )
