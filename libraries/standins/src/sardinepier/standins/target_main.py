"""The process ``sardinepier-target-standin``: one stand-in target.

``SIGTERM`` drains it: responses carry the draining header, new requests are
refused after ``drain_ms``, requests in flight finish, and it exits with 0. A
poisoned request ends the process with code 70 to simulate a crash.
"""

import asyncio
import os
import pathlib
import random
import signal
import sys
from typing import Final

import fire

from sardinepier.core import clock, errors
from sardinepier.standins import target_settings, target_standin

CRASH_CODE: Final = 70
_USAGE_CODE: Final = 2
_TEXT_OPTIONS: Final = (
    'target_id',
    'ip',
    'port_file',
    'executions_path',
    'poison',
)


class PortInUseError(errors.SardinepierError):
    """The address to listen at cannot be bound."""


def run(
    target_id: str = 'target',
    ip: str = '127.0.0.1',
    port: int = 0,
    port_file: str = '',
    seed: int = 1,
    **settings: float,
) -> None:
    """Serve as one target until a signal ends the process.

    ``port`` 0 lets the system choose; the bound port is written to
    ``port_file``. ``settings`` are the fields of
    :class:`target_settings.TargetStandinSettings`, for example
    ``--slots 3 --service_ms 10``.
    """
    try:
        options = _read_settings(target_id, settings)
    except errors.SardinepierError as error:
        _exit_with_error(error, _USAGE_CODE)
    try:
        asyncio.run(_serve(options, ip, port, port_file, seed))
    except errors.SardinepierError as error:
        _exit_with_error(error, 1)


def main() -> None:
    """Run the command line."""
    # Fire would parse a name like 5j as a number. It would also list its own
    # attribute in the help text unless the name of that has an underscore.
    fire.decorators.FIRE_METADATA = '_fire_metadata'
    fire.decorators.SetParseFns(**dict.fromkeys(_TEXT_OPTIONS, str))(run)
    fire.Fire(run, name='sardinepier-target-standin')


def _read_settings(
    target_id: str,
    settings: dict[str, float],
) -> target_settings.TargetStandinSettings:
    try:
        return target_settings.TargetStandinSettings(
            target_id,
            **settings,  # type: ignore[arg-type]  # checked by the class
        )
    except TypeError as error:
        raise errors.InvalidArgumentError(
            f'An option is not known: {error}',
            'Pass --help to see the options',
        ) from error


async def _serve(
    options: target_settings.TargetStandinSettings,
    ip: str,
    port: int,
    port_file: str,
    seed: int,
) -> None:
    standin = target_standin.TargetStandin(
        options,
        clock.SystemClock(),
        random.Random(seed),
        on_crash=_crash,
    )
    try:
        bound_port = await standin.start(ip, port)
    except OSError as error:
        raise PortInUseError(
            f'Cannot listen at {ip} port {port}: {error.strerror}',
            'Pass another --port, or 0 to let the system choose',
        ) from error
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, standin.drain)
    if port_file:
        _write_port(pathlib.Path(port_file), bound_port)
    await standin.drained()
    await standin.stop()


def _write_port(path: pathlib.Path, port: int) -> None:
    """Write the file by renaming, so that no reader sees a partial number."""
    draft = path.with_suffix('.draft')
    draft.write_text(f'{port}\n')
    draft.replace(path)


def _crash() -> None:
    os._exit(CRASH_CODE)


def _exit_with_error(error: errors.SardinepierError, code: int) -> None:
    sys.stderr.write(f'{error}\n')
    sys.exit(code)


if __name__ == '__main__':
    main()
