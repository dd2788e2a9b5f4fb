"""The interface of the platform and the values it publishes.

The platform can only be read and watched, never written. It stores the
operators' files, each with a revision that only increases, and a list of
instances that lags behind their actual state.
"""

import enum
import sys
from typing import Annotated, Final, Protocol

import msgspec

from sardinepier.core import ids
from sardinepier.platform import shares

FILE_LIMIT_BYTES: Final = 1024 * 1024
"""Size limit of a file on the platform."""

_MAX_REVISION: Final = sys.maxsize
_MAX_PORT: Final = 65535
_MAX_NAME_LENGTH: Final = 256

_Revision = Annotated[
    ids.Revision,
    msgspec.Meta(ge=0, le=_MAX_REVISION),
]
_Name = Annotated[
    ids.FileName,
    msgspec.Meta(min_length=1, max_length=_MAX_NAME_LENGTH),
]


class PublishedFile(msgspec.Struct, frozen=True):
    """The whole text of a file at one revision."""

    name: _Name
    revision: _Revision
    text: str


class FileRevision(msgspec.Struct, frozen=True):
    """The newest revision of one file, and whether it deleted the file."""

    name: _Name
    revision: _Revision
    deleted: bool = False


class Listing(msgspec.Struct, frozen=True):
    """All files, and the newest revision of any of them."""

    revision: _Revision
    files: tuple[FileRevision, ...]


class ListedState(enum.Enum):
    """State of a target in the instance list, which lags behind."""

    LIVE = 'live'
    LEAVING = 'leaving'


class ListedTarget(msgspec.Struct, frozen=True):
    """One incarnation of a target in the instance list."""

    service: ids.ServiceName
    target_id: ids.TargetId
    incarnation: ids.TargetIncarnation
    state: ListedState


class ListedDaemon(msgspec.Struct, frozen=True):
    """A daemon and the address at which it receives from its peers."""

    daemon_id: ids.DaemonId
    peer_ip: str
    peer_port: Annotated[int, msgspec.Meta(ge=1, le=_MAX_PORT)]


class InstanceList(msgspec.Struct, frozen=True):
    """The platform's lagging list of targets and daemons, or a share of it.

    ``share`` says which services the list covers. A target of a covered
    service that is missing from ``targets`` is not listed by the platform;
    the list has no information about other services.
    """

    targets: tuple[ListedTarget, ...] = ()
    daemons: tuple[ListedDaemon, ...] = ()
    share: shares.InstanceShare = shares.WHOLE


class Platform(Protocol):
    """The published files and the instance list, read and watched.

    Every method raises :class:`errors.PlatformUnavailableError` when no
    answer came in time, :class:`errors.PlatformReplyError` when the answer is
    invalid, and nothing else. An answer may be older than an earlier one,
    because the platform sometimes serves stale state.
    """

    async def list_files(self) -> Listing:
        """Return the revisions of all files."""
        ...

    async def watch_files(
        self,
        after_revision: int,
        timeout_s: float,
    ) -> Listing:
        """Return the listing once it is newer than ``after_revision``.

        When nothing changes within ``timeout_s`` seconds, returns the
        unchanged listing.
        """
        ...

    async def read_file(self, name: ids.FileName) -> PublishedFile:
        """Return the newest revision of one file.

        Raises :class:`errors.PlatformFileMissingError`, which is a
        :class:`errors.PlatformReplyError`, when there is no such file.
        """
        ...

    async def list_instances(
        self,
        share: shares.InstanceShare = shares.WHOLE,
    ) -> InstanceList:
        """Return the instance list, or the requested share of it.

        Returns the same object as long as the share is unchanged.
        """
        ...
