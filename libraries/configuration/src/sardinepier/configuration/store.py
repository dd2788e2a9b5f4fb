"""The newest accepted version of each file, on one daemon.

For example::

    store = Store()
    store.offer(ids.FileName('fleet'), ids.Revision(1), text)
    store.current.fleet.name

A version is taken only when its revision is higher than the one in force.
One with mistakes is remembered with its revision, so that it is not fetched
again, and the last valid one stays in force.
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
"""Files beyond this number are ignored, to bound memory and messages."""

_UNKNOWN: Final = files.KnownFile()
ChangeCallback = Callable[[model.Configuration], None]
NewVersionCallback = Callable[[ids.FileName], None]


class Store:
    """All files known to one daemon; synchronous, without any I/O.

    ``current`` is ``None`` until a valid fleet file came. It is replaced
    whole on each change, so a request that keeps the object it started with
    never sees two configurations. A change parses the changed file alone.
    """

    def __init__(self) -> None:
        """Start with nothing known."""
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
        """Take the version if it is newer and valid.

        A rejected revision may come again with another text, for a platform
        may garble a file once; the same text is not parsed again.
        """
        version = files.FileVersion(revision, text)
        if not self.is_newer(name, version):
            return files.OfferResult.STALE
        return self.offer_parsed(name, version, file_parsing.parse(name, text))

    def offer_parsed(
        self,
        name: ids.FileName,
        version: files.FileVersion,
        found: file_parsing.ParsedFile,
    ) -> files.OfferResult:
        """Take a version whose text was read already, elsewhere.

        Whether it is still news is looked at only here: a newer version may
        have come while the text was read.
        """
        if not self.is_newer(name, version):
            return files.OfferResult.STALE
        if found.problems:
            return self._reject(name, version, found.problems)
        return self._accept(name, version, found.parsed)

    def offer_deleted(
        self,
        name: ids.FileName,
        revision: ids.Revision,
    ) -> files.OfferResult:
        """Take the deletion of a file if it is newer.

        The fleet file cannot be deleted: that is a mistake like any other,
        and its last valid version stays in force.
        """
        version = files.FileVersion(revision, None)
        if not self.is_newer(name, version):
            return files.OfferResult.STALE
        if name == file_names.FLEET:
            problems = (file_parsing.deleted_fleet(),)
            return self._reject(name, version, problems)
        return self._accept(name, version, None)

    def is_newer(self, name: ids.FileName, version: files.FileVersion) -> bool:
        """Tell whether the version may be taken, if it is valid."""
        if not self.can_store(name):
            return False
        known = self.find(name)
        if version.revision <= known.in_force_revision:
            return False
        return known.rejected is None or known.rejected.version != version

    def find(self, name: ids.FileName) -> files.KnownFile:
        """Return what is known of a file; an empty value if nothing is."""
        return self._files.get(name, _UNKNOWN)

    def known(self) -> Mapping[ids.FileName, files.KnownFile]:
        """Return all files, rejected and deleted ones with them."""
        return types.MappingProxyType(self._files)

    def can_store(self, name: ids.FileName) -> bool:
        """Tell whether this file may be kept: its name is one of ours."""
        if name in self._files:
            return True
        return file_names.is_known(name) and len(self._files) < MAX_FILES

    def mark(self) -> marks.ConfigurationMark:
        """Return what tells this state from another, in a few bytes."""
        return marks.ConfigurationMark(self._newest, self._digest)

    def problems(self) -> tuple[errors.Problem, ...]:
        """Return all mistakes of rejected files, and between valid ones.

        A mistake between files keeps neither from being in force: which of
        the two came first would decide, and daemons would differ.
        """
        rejected = (file.rejected for file in self._files.values())
        alone = tuple(
            problem
            for one in rejected
            if one is not None
            for problem in one.problems
        )
        if self.current is None:
            return alone
        services = tuple(self.current.services.values())
        return alone + parsing.check_across_files(self.current.fleet, services)

    def on_change(self, callback: ChangeCallback) -> None:
        """Call ``callback`` with each new ``current``."""
        self._on_change.append(callback)

    def on_new_version(self, callback: NewVersionCallback) -> None:
        """Call ``callback`` with the name whenever a file's state grew."""
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
        self._renew_current(name, version, parsed)
        return files.OfferResult.ACCEPTED

    def _replace(self, name: ids.FileName, known: files.KnownFile) -> None:
        self._digest ^= _digest_part(name, self.find(name))
        self._digest ^= _digest_part(name, known)
        self._files[name] = known
        self._newest = max(self._newest, known.newest_revision)
        for callback in self._on_new_version:
            callback(name)

    def _renew_current(
        self,
        name: ids.FileName,
        version: files.FileVersion,
        parsed: model.FleetSettings | model.ServiceSettings | None,
    ) -> None:
        """Build the next ``current`` from copies; the old one stays whole."""
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
    return {other: kept for other, kept in services.items() if other != service}


def _digest_part(name: ids.FileName, known: files.KnownFile) -> int:
    """Return the share of one file; shares are joined by exclusive or."""
    if known.newest_revision == files.NO_REVISION:
        return 0
    revisions = f'{known.newest_revision}\0{known.in_force_revision}'
    return int(xxhash.xxh3_64_intdigest(f'{name}\0{revisions}'.encode()))
