"""The command ``sardinepierd``."""

import asyncio
import sys
from typing import Final

import fire

from sardinepier.daemon import process
from sardinepier.settings import model, parsing
from sardinepier.telemetry import logs

_FAILED: Final = 1
_SWITCH_INTERVAL_S: Final = 0.0005


def run(settings: str) -> None:
    """Run one daemon until it is stopped by SIGTERM or SIGINT.

    ``settings`` is the path of the instance file. Log lines go to standard
    error, one JSON object a line. A failure ends the command with code 1 and
    one log line that says what was wrong and what to do.
    """
    try:
        _run(settings)
    except Exception as error:  # noqa: BLE001 - a fault of the program, too
        # An operator gets one line, not a traceback; at level debug the line
        # has the traceback within it.
        logs.failure('daemon-failed', error, level=logs.Level.ERROR)
        sys.exit(_FAILED)


def _run(path: str) -> None:
    logs.configure('info', '')
    instance = parsing.read_instance(path)
    logs.configure(instance.log_level, instance.daemon_id)
    # Files are read in a thread. At the default of 5 ms that thread keeps
    # each request waiting for longer than the whole request may take.
    sys.setswitchinterval(_SWITCH_INTERVAL_S)
    asyncio.run(_serve(instance))


async def _serve(instance: model.InstanceSettings) -> None:
    await process.Daemon(instance).run()


def main() -> None:
    """Run the command line."""
    fire.Fire(run)
