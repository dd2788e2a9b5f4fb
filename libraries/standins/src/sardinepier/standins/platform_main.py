"""Runs the stand-in platform as a process.

For example ``sardinepier-platform-standin --port 8500 --directory example``.
"""

import asyncio
import pathlib
import signal
import sys
from typing import Final

import fire

from sardinepier.standins import platform_standin
from sardinepier.standins.internal import platform_directory

_SCAN_INTERVAL_S: Final = 0.2
_USAGE_EXIT_CODE: Final = 2


def serve(
    directory: str,
    port: int = 0,
    port_file: str = '',
    ip: str = '127.0.0.1',
) -> None:
    """Serve the files of ``directory`` until a signal ends the process.

    Port 0 lets the system choose; the bound port is written to ``port_file``
    once the stand-in listens. ``fleet.ini``, ``services/<name>.ini`` and
    ``instances.json`` in the directory are published, and published again
    when they change.
    """
    path = pathlib.Path(directory)
    if not path.is_dir():
        sys.stderr.write(f'{directory} is no directory. Pass one.\n')
        sys.exit(_USAGE_EXIT_CODE)
    asyncio.run(_serve(path, port, port_file, ip))


def main() -> None:
    """Read the command line and serve."""
    fire.Fire(serve, name='sardinepier-platform-standin')


async def _serve(
    directory: pathlib.Path,
    port: int,
    port_file: str,
    ip: str,
) -> None:
    stopping = _stop_on_signal()
    standin = platform_standin.PlatformStandin()
    published = platform_directory.PublishedDirectory(directory, standin)
    published.scan()
    url = await standin.start(ip, port)
    sys.stderr.write(f'platform stand-in at {url}\n')
    if port_file:
        _write_port(pathlib.Path(port_file), url)
    while not stopping.is_set():
        await asyncio.sleep(_SCAN_INTERVAL_S)
        published.scan()
    await standin.stop()


def _stop_on_signal() -> asyncio.Event:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopping.set)
    return stopping


def _write_port(path: pathlib.Path, url: str) -> None:
    """Write the file by renaming, so that no reader sees a partial number."""
    draft = path.with_name(f'{path.name}.new')
    draft.write_text(url.rsplit(':', 1)[1])
    draft.replace(path)
