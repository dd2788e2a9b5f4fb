"""The command ``sardinepierd``."""

import asyncio
import sys

import fire

from sardinepier.core import errors
from sardinepier.daemon import process
from sardinepier.settings import model, parsing
from sardinepier.telemetry import logs

_FAILED = 1


def run(settings: str) -> None:
    """Run one daemon until it is stopped by SIGTERM or SIGINT.

    ``settings`` is the path of the instance file. Log lines go to standard
    error, one JSON object a line. A failure ends the command with code 1 and
    one log line that says what was wrong and what to do.
    """
    try:
        _run(settings)
    except errors.SardinepierError as error:
        logs.failure('daemon-failed', error, level=logs.Level.ERROR)
        sys.exit(_FAILED)


def _run(path: str) -> None:
    logs.configure('info', '')
    instance = parsing.read_instance(path)
    logs.configure(instance.log_level, instance.daemon_id)
    asyncio.run(_serve(instance))


async def _serve(instance: model.InstanceSettings) -> None:
    await process.Daemon(instance).run()


def main() -> None:
    """Run the command line."""
    fire.Fire(run)
