r"""The detection experiment as a command, and its larger runs in shards.

A shard runs every n-th plan, so that several processes share the work. The
design note uses these runs::

    python -m fire sardinepier.workbench.detection.command \
        faults out.0.jsonl --shard 0/3
"""

import itertools
import pathlib
from collections.abc import Sequence

from sardinepier.workbench.detection import (
    contenders,
    curve,
    driver,
    experiment,
    scenario,
    tables,
)


def run(
    seed: int = 1,
    output_directory: str | None = None,
    quick: bool = False,
) -> str:
    """Run the experiment once and return its tables."""
    return experiment.run(seed, output_directory, quick).render()


def faults(
    output: str,
    seeds: int = 3,
    services: Sequence[int] = (2,),
    loads: Sequence[int] = (1,),
    shard: str = '0/1',
    rivals: bool = True,
) -> str:
    """Run every fault over seeds, services and loads; write the records.

    Without ``rivals`` only the library with Red Tesis's setting takes part.
    """
    plans = [
        driver.Plan(
            scenario.SERVICES[service],
            scenario.LOADS[load],
            fault,
            experiment.FAULT_AT_S,
            experiment.FAULT_END_S,
            seed,
        )
        for service, load, seed, fault in itertools.product(
            services,
            loads,
            range(1, seeds + 1),
            experiment.FAULTS,
        )
    ]
    acting = experiment.users() if rivals else experiment.users()[:1]
    return _run(plans, acting, output, shard, rivals)


def healthy(
    output: str,
    seeds: int = 3,
    service: int = 0,
    length_s: float = 300.0,
    shard: str = '0/1',
    rivals: bool = True,
) -> str:
    """Run healthy traffic of every kind; write the records.

    Without ``rivals`` only the library with Red Tesis's setting takes part.
    """
    plans = []
    for seed in range(1, seeds + 1):
        plans.extend(
            experiment.healthy_plans(
                scenario.SERVICES[service],
                length_s,
                seed,
            ),
        )
    acting = experiment.users() if rivals else experiment.users()[:1]
    return _run(plans, acting, output, shard, rivals)


def settings(output: str, shard: str = '0/1', length_s: float = 60.0) -> str:
    """Run the library over a range of its setting, for the curve."""
    service = scenario.SERVICES[2]
    plans = [
        driver.Plan(
            service,
            scenario.LOADS[1],
            fault,
            experiment.FAULT_AT_S,
            experiment.FAULT_END_S,
            1,
        )
        for fault in scenario.SICK_FAULTS
    ]
    plans.extend(experiment.healthy_plans(service, length_s, 1))
    acting = [contenders.group(per_day) for per_day in contenders.CURVE_PER_DAY]
    return _run(plans, acting, output, shard, rivals=False)


def draw(figure: str, *inputs: str) -> str:
    """Draw the curve of recorded runs and return their tables."""
    all_records = tuple(
        record
        for name in inputs
        for record in experiment.read(pathlib.Path(name))
    )
    curve.draw(all_records, pathlib.Path(figure))
    return tables.render(all_records)


def _run(
    plans: Sequence[driver.Plan],
    acting: Sequence[contenders.Contender],
    output: str,
    shard: str,
    rivals: bool,
) -> str:
    shard_index, shard_count = (int(part) for part in shard.split('/'))
    all_records = tuple(
        experiment.run_plans(plans[shard_index::shard_count], acting, rivals),
    )
    experiment.write(all_records, pathlib.Path(output))
    return tables.summary_table(all_records)
