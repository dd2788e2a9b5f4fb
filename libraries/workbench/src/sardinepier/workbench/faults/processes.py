"""The processes that a shell script has started, by their recorded ids.

The script keeps a directory with one small file a process; see
``scripts/fleet.sh``. Signals go only to process ids recorded there.
"""

import os
import pathlib
import re
import signal
from typing import Final

from sardinepier.core import errors
from sardinepier.workbench.traffic import options

_IP: Final = '127.0.0.1'
_TARGET_NAME: Final = re.compile(r't\d+')


class ProcessMissingError(errors.SardinepierError):
    """A process that a case relies on does not run."""


class Processes:
    """Names, addresses and signals."""

    def __init__(self, directory: pathlib.Path) -> None:
        """Use the fleet that keeps its files in ``directory``."""
        self.directory = directory
        self.daemons = self._names('settings')
        self.targets = tuple(
            name for name in self._names('port') if _TARGET_NAME.fullmatch(name)
        )

    def endpoint(self, name: str) -> options.Endpoint:
        """Return where the process listens, past any relay."""
        ip = self.daemon_ip(name) if name in self.daemons else _IP
        port = int((self.directory / 'port' / name).read_text())
        return options.Endpoint(ip, port)

    def detours(self) -> dict[options.Endpoint, options.Endpoint]:
        """Return where relays stand before the daemons' HTTP ports."""
        ports = self.directory / 'port'
        paths = {name: ports / f'{name}-http-relay' for name in self.daemons}
        return {
            self.endpoint(name): options.Endpoint(_IP, int(path.read_text()))
            for name, path in paths.items()
            if path.exists()
        }

    def daemon_ip(self, name: str) -> str:
        """Return the address from which the daemon ``name`` connects."""
        network = (self.directory / 'network').read_text().strip()
        return f'{network}.{self.daemons.index(name) + 1}'

    def execution_files(self) -> tuple[pathlib.Path, ...]:
        """Return the files in which the targets keep their counts."""
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
                f'The process {name} does not run',
                f'Look into log/{name} in the directory of the fleet',
            )
        os.kill(pid, number)

    def hold(self, name: str) -> None:
        """Keep the script from starting the process again."""
        (self.directory / 'hold' / name).touch()

    def release(self, name: str) -> None:
        """Let the script start the process again."""
        (self.directory / 'hold' / name).unlink(missing_ok=True)

    def _names(self, kind: str) -> tuple[str, ...]:
        paths = (self.directory / kind).iterdir()
        return tuple(sorted(path.stem for path in paths))
