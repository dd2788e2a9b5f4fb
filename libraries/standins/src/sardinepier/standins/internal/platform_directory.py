"""Publishes the files of a directory and their changes."""

import dataclasses
import pathlib
import sys
from typing import Final

import msgspec

from sardinepier.platform import interface
from sardinepier.standins import platform_standin

_FLEET_FILE: Final = 'fleet.ini'
_SERVICES: Final = 'services'
_SUFFIX: Final = '.ini'
_INSTANCES_FILE: Final = 'instances.json'


@dataclasses.dataclass(frozen=True, slots=True)
class _FileStamp:
    """Distinguishes the versions of a file on disk."""

    modified_ns: int
    size_bytes: int


class PublishedDirectory:
    """Publishes the files of a directory on a stand-in platform.

    ``fleet.ini`` is published as ``fleet``, ``services/<name>.ini`` as
    ``service/<name>``, and ``instances.json`` is the instance list. A writer
    should replace files by renaming, so that no partial text is published.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        standin: platform_standin.PlatformStandin,
    ) -> None:
        """Create the publisher; the first ``scan`` publishes all files."""
        self._directory = directory
        self._standin = standin
        self._stamps: dict[str, _FileStamp] = {}
        self._instances_stamp: _FileStamp | None = None

    def scan(self) -> None:
        """Publish new and changed files and delete removed ones."""
        paths = self._find_files()
        for name, path in paths.items():
            self._publish_changed(name, path)
        for removed in self._stamps.keys() - paths.keys():
            self._stamps.pop(removed)
            self._standin.delete(removed)
        self._load_changed_instances()

    def _find_files(self) -> dict[str, pathlib.Path]:
        services = sorted(
            (self._directory / _SERVICES).glob(f'*{_SUFFIX}'),
        )
        paths = {f'service/{path.stem}': path for path in services}
        fleet = self._directory / _FLEET_FILE
        if fleet.exists():
            paths['fleet'] = fleet
        return paths

    def _publish_changed(self, name: str, path: pathlib.Path) -> None:
        stamp = _read_stamp(path)
        if stamp is None or self._stamps.get(name) == stamp:
            return
        self._stamps[name] = stamp
        text = path.read_bytes().decode(errors='replace')
        self._standin.publish(name, text)

    def _load_changed_instances(self) -> None:
        path = self._directory / _INSTANCES_FILE
        stamp = _read_stamp(path)
        if stamp is None or stamp == self._instances_stamp:
            return
        self._instances_stamp = stamp
        try:
            instances = msgspec.json.decode(
                path.read_bytes(),
                type=interface.InstanceList,
            )
        except msgspec.DecodeError as error:
            sys.stderr.write(f'{path} is no instance list: {error}\n')
            return
        self._standin.set_instances(instances)


def _read_stamp(path: pathlib.Path) -> _FileStamp | None:
    """Return the file's stamp, or ``None`` if the file does not exist."""
    try:
        status = path.stat()
    except FileNotFoundError:
        return None
    return _FileStamp(status.st_mtime_ns, status.st_size)
