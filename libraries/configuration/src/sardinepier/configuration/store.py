"""The newest accepted version of each file, on one daemon.

For example::

    store = Store()
    store.offer(ids.FileName('fleet'), ids.Revision(1), text)
    store.current.fleet.name

A version is accepted only if its revision is higher than the one in force.
A version with problems is stored as rejected, so that it is not fetched
again, and the last valid version stays in force.
"""

import types
from collections.abc import Callable, Mapping
from typing import Final

import xxhash

from sardinepier.configuration import files
from sardinepier.configuration.internal import file_names, file_parsing
from sardinepier.core import ids
from sardinepier.membership import marks
from sardinepier.settings import errors, model, parsing

MAX_FILES: Final = 4096
"""Further files are ignored, which bounds memory and message sizes."""

_UNKNOWN: Final = files.KnownFile()
ChangeCallback = Callable[[model.Configuration], None]
NewVersionCallback = Callable[[ids.FileName], None]


class Store:
    """All files known to one daemon; synchronous, without any I/O.

    ``current`` is ``None`` until there is a valid fleet file. Each change
    replaces it by a new object, so a request that keeps the object it started
    with never sees two configurations. Only the changed file is parsed.
    """

    def __init__(self) -> None:
        """Start without any file."""
        self.current: model.Configuration | None = None
        self._files: dict[ids.FileName, files.KnownFile] = {}
        self._digest = 0
        self._newest = files.NO_REVISION
        self._services: Mapping[ids.ServiceName, model.ServiceSettings] = {}
        self._revisions: Mapping[ids.FileName, ids.Revision] = {}
        self._on_change: list[ChangeCallback] = []
        self._on_new_version: list[NewVersionCallback] = []

    def offer(
        self,
        name: ids.FileName,
        revision: ids.Revision,
        text: str,
    ) -> files.OfferResult:
        """Apply the version if it is newer and valid.

        A rejected revision may be offered again with another text, because
        the platform may have garbled the file once. The same text is not
        parsed again.
        """
        version = files.FileVersion(revision, text)
        if not self.is_newer(name, version):
            return files.OfferResult.STALE
        return self.offer_parsed(name, version, file_parsing.parse(name, text))

    def offer_parsed(
        self,
        name: ids.FileName,
        version: files.FileVersion,
        parsed_file: file_parsing.ParsedFile,
    ) -> files.OfferResult:
        """Apply a version whose text the caller has already parsed.

        Whether the version is still newer is checked here, since another one
        may have been applied while the text was parsed.
        """
        if not self.is_newer(name, version):
            return files.OfferResult.STALE
        if parsed_file.problems:
            return self._reject(name, version, parsed_file.problems)
        return self._accept(name, version, parsed_file.parsed)

    def offer_deleted(
        self,
        name: ids.FileName,
        revision: ids.Revision,
    ) -> files.OfferResult:
        """Apply the deletion of a file if it is newer.

        The fleet file cannot be deleted: its deletion is rejected like any
        other invalid version, and the last valid version stays in force.
        """
        version = files.FileVersion(revision, None)
        if not self.is_newer(name, version):
            return files.OfferResult.STALE
        if name == file_names.FLEET:
            problems = (file_parsing.fleet_deleted_problem(),)
            return self._reject(name, version, problems)
        return self._accept(name, version, None)

    def is_newer(self, name: ids.FileName, version: files.FileVersion) -> bool:
        """Return whether the version would be applied if it is valid."""
        if not self.can_store(name):
            return False
        known = self.find(name)
        if version.revision <= known.in_force_revision:
            return False
        return known.rejected is None or known.rejected.version != version

    def find(self, name: ids.FileName) -> files.KnownFile:
        """Return the known versions of a file; an empty object if none."""
        return self._files.get(name, _UNKNOWN)

    def known(self) -> Mapping[ids.FileName, files.KnownFile]:
        """Return all files, including rejected and deleted ones."""
        return types.MappingProxyType(self._files)

    def can_store(self, name: ids.FileName) -> bool:
        """Return whether a file of this name is or may be stored."""
        if name in self._files:
            return True
        return file_names.is_valid(name) and len(self._files) < MAX_FILES

    def mark(self) -> marks.ConfigurationMark:
        """Return a short fingerprint of all known revisions."""
        return marks.ConfigurationMark(self._newest, self._digest)

    def problems(self) -> tuple[errors.Problem, ...]:
        """Return the problems of rejected files and between valid files.

        A problem between two files blocks neither of them: otherwise the
        order of arrival would decide, and daemons would differ.
        """
        rejected_files = (file.rejected for file in self._files.values())
        rejected_problems = tuple(
            problem
            for rejected in rejected_files
            if rejected is not None
            for problem in rejected.problems
        )
        if self.current is None:
            return rejected_problems
        services = tuple(self.current.services.values())
        return rejected_problems + parsing.check_across_files(
            self.current.fleet, services
        )

    def on_change(self, callback: ChangeCallback) -> None:
        """Call ``callback`` with each new ``current``."""
        self._on_change.append(callback)

    def on_new_version(self, callback: NewVersionCallback) -> None:
        """Call ``callback`` with the file's name after each new version."""
        self._on_new_version.append(callback)

    def _reject(
        self,
        name: ids.FileName,
        version: files.FileVersion,
        problems: tuple[errors.Problem, ...],
    ) -> files.OfferResult:
        known = self.find(name)
        if version.revision > known.newest_revision:
            rejected = files.RejectedFile(name, version, problems)
            self._replace(
                name,
                files.KnownFile(known.in_force, rejected, known.parsed),
            )
        return files.OfferResult.INVALID

    def _accept(
        self,
        name: ids.FileName,
        version: files.FileVersion,
        parsed: model.FleetSettings | model.ServiceSettings | None,
    ) -> files.OfferResult:
        rejected = self.find(name).rejected
        if rejected and rejected.version.revision <= version.revision:
            rejected = None
        self._replace(name, files.KnownFile(version, rejected, parsed))
        self._rebuild_current(name, version, parsed)
        return files.OfferResult.ACCEPTED

    def _replace(self, name: ids.FileName, known: files.KnownFile) -> None:
        self._digest ^= _file_digest(name, self.find(name))
        self._digest ^= _file_digest(name, known)
        self._files[name] = known
        self._newest = max(self._newest, known.newest_revision)
        for callback in self._on_new_version:
            callback(name)

    def _rebuild_current(
        self,
        name: ids.FileName,
        version: files.FileVersion,
        parsed: model.FleetSettings | model.ServiceSettings | None,
    ) -> None:
        """Build a new ``current`` from copies; the old object is unchanged."""
        self._revisions = {**self._revisions, name: version.revision}
        fleet = self.current.fleet if self.current else None
        if isinstance(parsed, model.FleetSettings):
            fleet = parsed
        else:
            self._services = _with_service(self._services, name, parsed)
        if fleet is None:
            return
        self.current = model.Configuration(
            fleet=fleet,
            services=types.MappingProxyType(self._services),
            revisions=types.MappingProxyType(self._revisions),
        )
        for callback in self._on_change:
            callback(self.current)


def _with_service(
    services: Mapping[ids.ServiceName, model.ServiceSettings],
    name: ids.FileName,
    parsed: model.ServiceSettings | None,
) -> Mapping[ids.ServiceName, model.ServiceSettings]:
    service = file_names.service_of(name)
    if parsed is not None:
        return {**services, service: parsed}
    return {
        service_name: settings
        for service_name, settings in services.items()
        if service_name != service
    }


def _file_digest(name: ids.FileName, known: files.KnownFile) -> int:
    """Return the hash of one file; the digest is the XOR of all of them."""
    if known.newest_revision == files.NO_REVISION:
        return 0
    revisions = f'{known.newest_revision}\0{known.in_force_revision}'
    return int(xxhash.xxh3_64_intdigest(f'{name}\0{revisions}'.encode()))
