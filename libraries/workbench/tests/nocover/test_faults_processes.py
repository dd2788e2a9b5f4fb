"""Real processes keep their promises under some of the fault cases.

``make faults`` runs the whole table. These are one case for each mechanism
whose removal was observed to break a promise. Each starts about ten processes.
"""

import asyncio
import json
import os
import pathlib

import pytest

pytestmark = pytest.mark.processes

ROOT = pathlib.Path(__file__).parents[4]


@pytest.mark.parametrize(
    'case',
    [
        'home stopped past the deadline',
        'answers to callers cut off',
        'target drops during',
        'target draining',
        'daemon ended by signal',
        'platform stale, daemon replaced',
        'poison crashes targets',
    ],
)
async def test_promises_hold_on_real_processes(case):
    process = await asyncio.create_subprocess_exec(
        str(ROOT / 'scripts' / 'faults.sh'),
        case,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        env={**os.environ, 'OPTIONS': '--json'},
    )
    written, problems = await asyncio.wait_for(process.communicate(), 120)
    row = json.loads(written or '{}')
    assert row, problems.decode()
    assert row['broken'] == []
    assert row['requests'] >= 200
    assert process.returncode == 0, problems.decode()
