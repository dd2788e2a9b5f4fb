"""The processes of a fleet, which a shell script has started.

The script records each process in files of a directory; see
``scripts/fleet.sh``. Signals are sent only to process ids recorded there.
"""

import os
import pathlib
import re
import signal
from typing import Final

from sardinepier.core import errors
from sardinepier.workbench.traffic import options

_LOOPBACK_IP: Final = '127.0.0.1'
_TARGET_NAME: Final = re.compile(r't\d+')


class ProcessMissingError(errors.SardinepierError):
    """A process that a case needs is not running."""


class Processes:
    """Names, addresses and process ids of a fleet, and signals to it."""

    def __init__(self, directory: pathlib.Path) -> None:
        """Use the fleet that keeps its files in ``directory``."""
        self.directory = directory
        self.daemons = self._names('settings')
        self.targets = tuple(
            name for name in self._names('port') if _TARGET_NAME.fullmatch(name)
        )

    def endpoint(self, name: str) -> options.Endpoint:
        """Return where the process itself listens, not its relay."""
        ip = self.daemon_ip(name) if name in self.daemons else _LOOPBACK_IP
        port = int((self.directory / 'port' / name).read_text())
        return options.Endpoint(ip, port)

    def detours(self) -> dict[options.Endpoint, options.Endpoint]:
        """Return the relay of each daemon's HTTP port that has one."""
        ports = self.directory / 'port'
        paths = {name: ports / f'{name}-http-relay' for name in self.daemons}
        return {
            self.endpoint(name): options.Endpoint(
                _LOOPBACK_IP, int(path.read_text())
            )
            for name, path in paths.items()
            if path.exists()
        }

    def daemon_ip(self, name: str) -> str:
        """Return the address from which the daemon ``name`` connects."""
        network = (self.directory / 'network').read_text().strip()
        return f'{network}.{self.daemons.index(name) + 1}'

    def execution_files(self) -> tuple[pathlib.Path, ...]:
        """Return the files in which the targets record executions."""
        directory = self.directory / 'executions'
        return tuple(directory / name for name in self.targets)

    def pid(self, name: str) -> int | None:
        """Return the process id, or None while the process does not run."""
        try:
            return int((self.directory / 'pid' / name).read_text())
        except FileNotFoundError:
            return None

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process.

        Raises ``ProcessMissingError`` when it does not run.
        """
        pid = self.pid(name)
        if pid is None:
            raise ProcessMissingError(
                f'The process {name} is not running',
                f'Look into log/{name} in the directory of the fleet',
            )
        os.kill(pid, number)

    def hold(self, name: str) -> None:
        """Keep the script from restarting the process."""
        (self.directory / 'hold' / name).touch()

    def release(self, name: str) -> None:
        """Let the script restart the process."""
        (self.directory / 'hold' / name).unlink(missing_ok=True)

    def _names(self, kind: str) -> tuple[str, ...]:
        paths = (self.directory / kind).iterdir()
        return tuple(sorted(path.stem for path in paths))
