"""What a stand-in platform holds, as immutable states one after another."""

import dataclasses
from collections.abc import Mapping
from typing import Final

from sardinepier.core import ids
from sardinepier.platform import interface

_KEPT_STATES: Final = 64


@dataclasses.dataclass(frozen=True, slots=True)
class StoredFile:
    """One file: its text, or ``None`` once it is deleted."""

    revision: ids.Revision
    text: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformState:
    """Everything the platform publishes at one moment."""

    revision: int
    files: Mapping[ids.FileName, StoredFile]
    instances: interface.InstanceList

    def listing(self) -> interface.Listing:
        """Return the revisions of all files, deleted ones with them."""
        return interface.Listing(
            revision=ids.Revision(self.revision),
            files=tuple(
                interface.FileRevision(name, held.revision, held.text is None)
                for name, held in sorted(self.files.items())
            ),
        )

    def with_file(
        self,
        name: ids.FileName,
        text: str | None,
    ) -> 'PlatformState':
        """Return the next state, in which ``name`` has a new revision."""
        revision = self.revision + 1
        held = StoredFile(ids.Revision(revision), text)
        return dataclasses.replace(
            self,
            revision=revision,
            files={**self.files, name: held},
        )

    def with_instances(
        self,
        instances: interface.InstanceList,
    ) -> 'PlatformState':
        """Return the next state, with another instance list."""
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
        """Make ``state`` the newest and forget the oldest beyond a bound."""
        self._states.append(state)
        del self._states[:-_KEPT_STATES]

    def before(self, changes: int) -> PlatformState:
        """Return the state that many changes ago, or the oldest kept."""
        return self._states[max(0, len(self._states) - 1 - changes)]
