"""The content of a stand-in platform as a sequence of immutable states."""

import dataclasses
from collections.abc import Mapping
from typing import Final

from sardinepier.core import ids
from sardinepier.platform import interface

_MAX_STATES: Final = 64


@dataclasses.dataclass(frozen=True, slots=True)
class StoredFile:
    """A file; ``text`` is ``None`` once it is deleted."""

    revision: ids.Revision
    text: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformState:
    """Everything the platform publishes at one moment."""

    revision: int
    files: Mapping[ids.FileName, StoredFile]
    instances: interface.InstanceList

    def listing(self) -> interface.Listing:
        """Return the revisions of all files, including deleted ones."""
        return interface.Listing(
            revision=ids.Revision(self.revision),
            files=tuple(
                interface.FileRevision(
                    name, stored.revision, stored.text is None
                )
                for name, stored in sorted(self.files.items())
            ),
        )

    def with_file(
        self,
        name: ids.FileName,
        text: str | None,
    ) -> 'PlatformState':
        """Return the next state, in which ``name`` has a new revision."""
        revision = self.revision + 1
        stored = StoredFile(ids.Revision(revision), text)
        return dataclasses.replace(
            self,
            revision=revision,
            files={**self.files, name: stored},
        )

    def with_instances(
        self,
        instances: interface.InstanceList,
    ) -> 'PlatformState':
        """Return a state with another instance list."""
        return dataclasses.replace(self, instances=instances)


class StateHistory:
    """The newest state and a bounded number of earlier ones."""

    def __init__(self) -> None:
        """Start with nothing published."""
        empty = PlatformState(
            revision=0,
            files={},
            instances=interface.InstanceList(),
        )
        self._states = [empty]

    @property
    def newest(self) -> PlatformState:
        """Return the state after the last change."""
        return self._states[-1]

    def push(self, state: PlatformState) -> None:
        """Make ``state`` the newest and drop the oldest beyond the limit."""
        self._states.append(state)
        del self._states[:-_MAX_STATES]

    def before(self, changes: int) -> PlatformState:
        """Return the state ``changes`` changes ago, or the oldest kept."""
        return self._states[max(0, len(self._states) - 1 - changes)]
