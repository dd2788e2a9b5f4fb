"""Tests how the target process ends, and that its counts survive it."""

import asyncio
import sys

import aiohttp
import pytest

from sardinepier.standins import target_main

pytestmark = pytest.mark.processes


async def start(tmp_path, *arguments):
    port_file = tmp_path / 'port'
    port_file.unlink(missing_ok=True)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'sardinepier.standins.target_main',
        f'--port_file={port_file}',
        *arguments,
        stderr=asyncio.subprocess.PIPE,
    )
    while process.returncode is None and not port_file.exists():
        await asyncio.sleep(0.02)
    port = int(port_file.read_text()) if port_file.exists() else 0
    return process, f'http://127.0.0.1:{port}'


async def test_signal_drains_and_breaks_no_request(tmp_path):
    process, base = await start(tmp_path, '--service_ms=500', '--drain_ms=100')
    async with aiohttp.ClientSession(base) as session:
        response = asyncio.create_task(session.post('/work', data=b'x'))
        await asyncio.sleep(0.2)
        process.terminate()
        assert (await response).status == 200
    assert await asyncio.wait_for(process.wait(), timeout=20) == 0


async def test_poison_ends_the_process_and_the_next_continues_its_counts(
    tmp_path,
):
    # The command line might parse the name 5j as a number.
    executions = f'--executions_path={tmp_path / "tmp.5j"}'
    process, base = await start(tmp_path, executions)
    async with aiohttp.ClientSession(base) as session:
        await session.post('/control/fault', data=b'{"poison": "rm"}')
        with pytest.raises(aiohttp.ClientConnectionError):
            await session.post('/work', data=b'rm')
    code = await asyncio.wait_for(process.wait(), timeout=20)
    assert code == target_main.CRASH_CODE
    process, base = await start(tmp_path, executions, '--drain_ms=0')
    async with aiohttp.ClientSession(base) as session:
        async with session.get('/control/executions') as reply:
            assert (await reply.json())['total'] == 1
    process.terminate()
    assert await asyncio.wait_for(process.wait(), timeout=20) == 0


@pytest.mark.parametrize(
    ('arguments', 'problem'),
    [
        (['--slots=0'], 'slots'),
        (['--speed=1'], 'speed'),
        (['--ip=192.0.2.1'], 'Cannot listen'),
    ],
)
async def test_invalid_options_are_reported_without_a_traceback(
    tmp_path, arguments, problem
):
    process, _ = await start(tmp_path, *arguments)
    _, message = await process.communicate()
    assert process.returncode in {1, 2}
    assert problem in message.decode()
    assert 'Traceback' not in message.decode()
