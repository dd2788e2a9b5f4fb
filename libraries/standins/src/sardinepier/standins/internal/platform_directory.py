"""Publishes the files of a directory, again whenever one changes."""

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
class _Stamp:
    """What tells one version of a file on disk from another."""

    modified_ns: int
    size_bytes: int


class PublishedDirectory:
    """Keeps a stand-in platform in step with the files of a directory.

    ``fleet.ini`` is published as ``fleet``, ``services/<name>.ini`` as
    ``service/<name>``, and ``instances.json`` is the instance list. A writer
    should put a new text in place by renaming, so that no half is published.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        standin: platform_standin.PlatformStandin,
    ) -> None:
        """Read nothing yet; the first ``scan`` publishes all files."""
        self._directory = directory
        self._standin = standin
        self._stamps: dict[str, _Stamp] = {}
        self._instances_stamp: _Stamp | None = None

    def scan(self) -> None:
        """Publish what is new or changed, and delete what is gone."""
        paths = self._find_files()
        for name, path in paths.items():
            self._publish_changed(name, path)
        for gone in self._stamps.keys() - paths.keys():
            self._stamps.pop(gone)
            self._standin.delete(gone)
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
        except msgspec.DecodeError as wrong:
            sys.stderr.write(f'{path} is no instance list: {wrong}\n')
            return
        self._standin.set_instances(instances)


def _read_stamp(path: pathlib.Path) -> _Stamp | None:
    """Return the file's stamp, or ``None`` when it is gone meanwhile."""
    try:
        status = path.stat()
    except FileNotFoundError:
        return None
    return _Stamp(status.st_mtime_ns, status.st_size)
