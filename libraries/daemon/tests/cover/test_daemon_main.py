"""Any failure of the daemon gives one log line and an exit code."""

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
        ZeroDivisionError('a bug of the daemon'),
        OSError('too many open files'),
    ),
)
def test_a_failure_is_logged_in_one_line_without_traceback(
    failure, tmp_path, monkeypatch, capsys
):
    async def fail(daemon):
        raise failure

    monkeypatch.setattr(process.Daemon, 'run', fail)
    path = tmp_path / 'instance.ini'
    path.write_text(_INSTANCE)
    with pytest.raises(SystemExit) as exit_info:
        main.run(str(path))
    lines = capsys.readouterr().err.splitlines()
    assert exit_info.value.code == 1
    assert len(lines) == 1
    assert json.loads(lines[0])['fields']['error'] == type(failure).__name__
    assert 'Traceback' not in lines[0]
