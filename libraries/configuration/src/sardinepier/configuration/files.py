"""The versions of one published file that a daemon knows."""

import dataclasses
import enum
from typing import Final

from sardinepier.core import ids
from sardinepier.settings import errors as settings_errors
from sardinepier.settings import model

NO_REVISION: Final = ids.Revision(0)
"""Means "no revision"; the platform numbers revisions from 1."""


class OfferResult(enum.Enum):
    """The outcome of offering a version to the store."""

    ACCEPTED = 'accepted'
    """The version is in force now."""

    STALE = 'stale'
    """A version that is at least as new is already known."""

    INVALID = 'invalid'
    """The version has problems; the previous one stays in force."""


@dataclasses.dataclass(frozen=True, slots=True)
class FileVersion:
    """One revision of a file: its text, or ``None`` for its deletion."""

    revision: ids.Revision
    text: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class RejectedFile:
    """A newest revision that cannot come into force, with its problems."""

    name: ids.FileName
    version: FileVersion
    problems: tuple[settings_errors.Problem, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class KnownFile:
    """The version in force and a newer rejected version, each if any.

    Each of the two only moves to higher revisions, so daemons converge
    whatever the order in which they receive the versions.
    """

    in_force: FileVersion | None = None
    rejected: RejectedFile | None = None
    parsed: model.FleetSettings | model.ServiceSettings | None = None

    @property
    def in_force_revision(self) -> ids.Revision:
        """Return the revision in force, or 0."""
        return self.in_force.revision if self.in_force else NO_REVISION

    @property
    def newest_revision(self) -> ids.Revision:
        """Return the newest revision seen, valid or not, or 0."""
        if self.rejected is None:
            return self.in_force_revision
        return self.rejected.version.revision

    @property
    def is_deleted(self) -> bool:
        """Return whether the version in force is a deletion."""
        return self.in_force is not None and self.in_force.text is None

    def find(self, revision: ids.Revision) -> FileVersion | None:
        """Return the version of ``revision``, or a newer one in force."""
        if self.rejected and self.rejected.version.revision == revision:
            return self.rejected.version
        if self.in_force_revision >= revision:
            return self.in_force
        return None
