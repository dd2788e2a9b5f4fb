"""The command ``sardinepierd``."""

import asyncio
import sys
from typing import Final

import fire

from sardinepier.daemon import process
from sardinepier.settings import model, parsing
from sardinepier.telemetry import logs

_EXIT_FAILURE: Final = 1
_SWITCH_INTERVAL_S: Final = 0.0005


def run(settings: str) -> None:
    """Run one daemon until it is stopped by SIGTERM or SIGINT.

    ``settings`` is the path of the instance file. Log lines go to standard
    error, one JSON object a line. A failure ends the command with code 1 and
    one log line that says what was wrong and what to do.
    """
    try:
        _run(settings)
    except Exception as error:  # noqa: BLE001 - bugs of the daemon included
        # Operators get one log line; only at level debug does it contain the
        # traceback.
        logs.failure('daemon-failed', error, level=logs.Level.ERROR)
        sys.exit(_EXIT_FAILURE)


def _run(path: str) -> None:
    logs.configure('info', '')
    instance = parsing.read_instance(path)
    logs.configure(instance.log_level, instance.daemon_id)
    # Configuration files are read in a thread. At the default interval of
    # 5 ms, that thread delays each request for longer than the whole request
    # may take.
    sys.setswitchinterval(_SWITCH_INTERVAL_S)
    asyncio.run(_serve(instance))


async def _serve(instance: model.InstanceSettings) -> None:
    await process.Daemon(instance).run()


def main() -> None:
    """Run the command line."""
    fire.Fire(run)
