"""The daemon as a process: failures at its start are logged clearly."""

import asyncio
import json
import pathlib
import signal
import socket
import sys

import pytest

_EXECUTABLE = str(pathlib.Path(sys.executable).parent / 'sardinepierd')
_TIMEOUT_S = 60

_INSTANCE = """
[instance]
daemon_id = d1
zone = north
region = metro
address_ip = 127.0.0.1
http_port = {http_port}
peer_port = {peer_port}
platform_urls = http://127.0.0.1:9
"""


def _free_port():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


async def _start(settings_path):
    return await asyncio.create_subprocess_exec(
        _EXECUTABLE,
        '--settings',
        str(settings_path),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )


async def _end(process):
    async with asyncio.timeout(_TIMEOUT_S):
        _, error_output = await process.communicate()
    return [json.loads(line) for line in error_output.decode().splitlines()]


@pytest.mark.processes
@pytest.mark.parametrize(
    ('text', 'problem'),
    (
        (None, 'cannot be read'),
        ('[instance]\nzone = north\n', 'daemon_id'),
        ('no section at all', ''),
    ),
)
async def test_an_invalid_instance_file_gives_exit_code_1_and_one_line(
    tmp_path, text, problem
):
    path = tmp_path / 'instance.ini'
    if text is not None:
        path.write_text(text)
    process = await _start(path)
    lines = await _end(process)
    assert process.returncode == 1
    assert len(lines) == 1
    assert lines[0]['level'] == 'error'
    assert problem in json.dumps(lines[0])
    assert 'Traceback' not in json.dumps(lines)


@pytest.mark.processes
async def test_a_peer_port_in_use_is_named_in_the_log(tmp_path):
    with socket.socket() as listener:
        listener.bind(('127.0.0.1', 0))
        listener.listen()
        port = listener.getsockname()[1]
        path = tmp_path / 'instance.ini'
        path.write_text(
            _INSTANCE.format(http_port=_free_port(), peer_port=port),
        )
        process = await _start(path)
        lines = await _end(process)
    assert process.returncode == 1
    assert str(port) in lines[-1]['message']


@pytest.mark.processes
async def test_a_daemon_without_platform_waits_and_stops_at_sigterm(tmp_path):
    path = tmp_path / 'instance.ini'
    path.write_text(
        _INSTANCE.format(http_port=_free_port(), peer_port=_free_port()),
    )
    process = await _start(path)
    async with asyncio.timeout(_TIMEOUT_S):
        first_line = await process.stderr.readline()
    assert json.loads(first_line)['event'] == 'PlatformFailed'
    process.send_signal(signal.SIGTERM)
    await _end(process)
    assert process.returncode == 0
