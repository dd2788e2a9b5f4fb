"""Whatever ends the daemon, the operator gets one line and a code."""

import json

import pytest

from sardinepier.core import errors
from sardinepier.daemon import main, process

_INSTANCE = """
[instance]
daemon_id = d1
zone = north
region = metro
address_ip = 127.0.0.1
http_port = 8080
peer_port = 8081
platform_urls = http://127.0.0.1:9
"""


@pytest.mark.parametrize(
    'failure',
    (
        errors.SardinepierError('The port is taken', 'Choose another'),
        ZeroDivisionError('a fault of the program'),
        OSError('too many open files'),
    ),
)
def test_a_failure_ends_in_one_line_without_a_traceback(
    failure, tmp_path, monkeypatch, capsys
):
    async def fail(daemon):
        raise failure

    monkeypatch.setattr(process.Daemon, 'run', fail)
    path = tmp_path / 'instance.ini'
    path.write_text(_INSTANCE)
    with pytest.raises(SystemExit) as ended:
        main.run(str(path))
    lines = capsys.readouterr().err.splitlines()
    assert ended.value.code == 1
    assert len(lines) == 1
    assert json.loads(lines[0])['fields']['error'] == type(failure).__name__
    assert 'Traceback' not in lines[0]
