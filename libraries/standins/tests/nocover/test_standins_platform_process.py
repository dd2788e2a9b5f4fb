"""Tests the stand-in platform as a process that publishes a directory."""

import asyncio
import json
import sys

import aiohttp
import pytest

pytestmark = pytest.mark.processes

_RUN = 'from sardinepier.standins import platform_main; platform_main.main()'


async def _start(*arguments):
    return await asyncio.create_subprocess_exec(
        sys.executable,
        '-c',
        _RUN,
        *arguments,
        stderr=asyncio.subprocess.PIPE,
    )


async def _read(session, path):
    async with session.get(path) as response:
        return await response.json()


@pytest.fixture
async def served(tmp_path):
    """Run the stand-in on a directory and yield a session and the directory."""
    (tmp_path / 'services').mkdir()
    (tmp_path / 'fleet.ini').write_text('[fleet]\n')
    (tmp_path / 'services' / 'deposits.ini').write_text('[service]\n')
    (tmp_path / 'instances.json').write_text('not json')
    port_file = tmp_path / 'port'
    process = await _start(
        '--port=0', f'--directory={tmp_path}', f'--port_file={port_file}'
    )
    async with asyncio.timeout(20):
        while not port_file.exists():
            await asyncio.sleep(0.05)
    url = f'http://127.0.0.1:{port_file.read_text()}'
    async with aiohttp.ClientSession(url) as session:
        yield session, tmp_path
    process.terminate()
    _, stderr = await process.communicate()
    assert process.returncode == 0
    assert b'is no instance list' in stderr


async def test_process_publishes_changes_of_its_directory(served):
    session, directory = served
    listing = await _read(session, '/v1/files')
    names = [entry['name'] for entry in listing['files']]
    assert names == ['fleet', 'service/deposits']
    (directory / 'services' / 'deposits.ini').unlink()
    watch = f'/v1/files?after={listing["revision"]}&timeout_ms=9000'
    changed = await _read(session, watch)
    assert changed['files'][1]['deleted']
    daemon = {'daemon_id': 'd', 'peer_ip': '::1', 'peer_port': 1}
    (directory / 'instances.json').write_text(json.dumps({'daemons': [daemon]}))
    async with asyncio.timeout(20):
        while not (await _read(session, '/v1/instances'))['daemons']:
            await asyncio.sleep(0.05)


async def test_mode_is_set_and_calls_are_counted(served):
    session, _ = served
    await session.post('/control/mode', json={'mode': 'failing'})
    async with session.get('/v1/files') as response:
        assert response.status == 503
    counts = await _read(session, '/control/counts')
    assert counts == {'lists': 1, 'watches': 0, 'files': 0, 'instances': 0}
    invalid = await session.post('/control/mode', json={})
    assert invalid.status == 400


async def test_missing_directory_ends_the_process_with_a_message(tmp_path):
    process = await _start(f'--directory={tmp_path / "absent"}')
    _, stderr = await process.communicate()
    assert process.returncode == 2
    assert b'is no directory' in stderr
