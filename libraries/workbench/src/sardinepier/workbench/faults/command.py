"""The command ``sardinepier-workbench faults``.

``scripts/faults.sh`` starts a new fleet for each case and calls this command
once per case. It exits with 1 when the case shows a broken promise.
"""

import asyncio
import pathlib
import sys
from collections.abc import Sequence
from typing import Final

import aiohttp
import msgspec

from sardinepier.core import clock, errors
from sardinepier.workbench.faults import (
    cases,
    driver,
    fleet,
    processes,
    table,
    verdicts,
)

_BROKEN_CODE: Final = 1


class UnknownCaseError(errors.SardinepierError):
    """No case of the table has the requested name."""


TEXT_OPTIONS: Final = (
    'case',
    'directory',
)
"""Options that stay text even when they look like a number."""


def run(
    case: str = '',
    directory: str = '',
    names: bool = False,
    relays: bool = False,
    heading: bool = False,
    json: bool = False,
) -> None:
    """Run one ``case`` against the fleet that keeps files in ``directory``.

    ``names`` prints the names of all cases instead, one per line, ``relays``
    the relays that the case needs, and ``heading`` the table's heading.
    """
    if names:
        _write_lines([known.name for known in table.CASES])
        return
    if heading:
        _write_lines([_HEADING])
        return
    chosen = _find_case(case)
    if relays:
        _write_lines(chosen.relays)
        return
    row = asyncio.run(_run_case(chosen, pathlib.Path(directory)))
    _write_lines([msgspec.json.encode(row).decode() if json else _render(row)])
    if row.broken:
        sys.exit(_BROKEN_CODE)


_HEADING: Final = (
    f'{"fault":<40}{"requests":>9}{"doubled":>9}{"false not-run":>15}'
    f'{"lost":>6}{"cut":>5}{"recover s":>11}  outcomes'
)


def _render(row: verdicts.CaseRow) -> str:
    outcomes = ', '.join(
        f'{kind} {count}'
        for kind, count in sorted(row.requests_by_kind.items())
    )
    line = (
        f'{row.name:<40}{row.requests:>9}{row.doubled:>9}'
        f'{row.false_not_run:>15}{row.lost:>6}{row.cut:>5}'
        f'{row.recover_s:>11.1f}  {outcomes}'
    )
    return '\n'.join([line, *(f'  BROKEN: {what}' for what in row.broken)])


async def _run_case(
    case: cases.FaultCase,
    directory: pathlib.Path,
) -> verdicts.CaseRow:
    async with aiohttp.ClientSession() as session:
        running_fleet = fleet.Fleet(processes.Processes(directory), session)
        case_driver = driver.CaseDriver(
            case, running_fleet, clock.SystemClock()
        )
        return await case_driver.run_case()


def _find_case(name: str) -> cases.FaultCase:
    for case in table.CASES:
        if case.name == name:
            return case
    raise UnknownCaseError(
        f'There is no fault case {name!r}',
        'Pass --names to see all of them',
    )


def _write_lines(lines: Sequence[str]) -> None:
    for line in lines:
        sys.stdout.write(f'{line}\n')
