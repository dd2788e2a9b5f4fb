"""What is known of one published file."""

import dataclasses
import enum
from typing import Final

from sardinepier.core import ids
from sardinepier.settings import errors as settings_errors
from sardinepier.settings import model

NO_REVISION: Final = ids.Revision(0)
"""Stands for "no revision": the platform's own begin at 1."""


class OfferResult(enum.Enum):
    """What became of a version that was offered."""

    ACCEPTED = 'accepted'
    """It is in force now."""

    STALE = 'stale'
    """A version at least as new is known already."""

    INVALID = 'invalid'
    """It has mistakes; what was in force stays in force."""


@dataclasses.dataclass(frozen=True, slots=True)
class FileVersion:
    """One revision of a file: its text, or ``None`` for its deletion."""

    revision: ids.Revision
    text: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class RejectedFile:
    """A newest revision that cannot be in force, with all its mistakes."""

    name: ids.FileName
    version: FileVersion
    problems: tuple[settings_errors.Problem, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class KnownFile:
    """The version in force and a newer, rejected one, if there are such.

    Two of these merge by taking the larger revision of each half, so that
    daemons agree in whatever order they heard of the versions.
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
        """Tell whether the version in force is a deletion."""
        return self.in_force is not None and self.in_force.text is None

    def find(self, revision: ids.Revision) -> FileVersion | None:
        """Return the version of ``revision``, or a newer one in force."""
        if self.rejected and self.rejected.version.revision == revision:
            return self.rejected.version
        if self.in_force_revision >= revision:
            return self.in_force
        return None
