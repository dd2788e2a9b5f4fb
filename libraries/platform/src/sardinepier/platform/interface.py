"""What the platform publishes, and how it is asked for it.

The platform can only be read and watched. It holds the operators' files, each
with a revision that only grows, and a list of instances that lags behind the
truth. Everything here is a value: nothing is ever written back.
"""

import enum
import sys
from typing import Annotated, Final, Protocol

import msgspec

from sardinepier.core import ids
from sardinepier.platform import shares

FILE_LIMIT_BYTES: Final = 1024 * 1024
"""The platform holds no larger file."""

_LARGEST_REVISION: Final = sys.maxsize
_LARGEST_PORT: Final = 65535
_LARGEST_NAME: Final = 256

_Revision = Annotated[
    ids.Revision,
    msgspec.Meta(ge=0, le=_LARGEST_REVISION),
]
_Name = Annotated[
    ids.FileName,
    msgspec.Meta(min_length=1, max_length=_LARGEST_NAME),
]


class PublishedFile(msgspec.Struct, frozen=True):
    """A file with its whole text, at one revision."""

    name: _Name
    revision: _Revision
    text: str


class FileRevision(msgspec.Struct, frozen=True):
    """The newest revision of one file, and whether that is its deletion."""

    name: _Name
    revision: _Revision
    deleted: bool = False


class Listing(msgspec.Struct, frozen=True):
    """All files and the platform's newest revision of any of them."""

    revision: _Revision
    files: tuple[FileRevision, ...]


class ListedState(enum.Enum):
    """What the platform says about a target, some time after the fact."""

    LIVE = 'live'
    LEAVING = 'leaving'


class ListedTarget(msgspec.Struct, frozen=True):
    """One start of one target, as the instance list knows it."""

    service: ids.ServiceName
    target_id: ids.TargetId
    incarnation: ids.TargetIncarnation
    state: ListedState


class ListedDaemon(msgspec.Struct, frozen=True):
    """A daemon and the address at which it hears its peers."""

    daemon_id: ids.DaemonId
    peer_ip: str
    peer_port: Annotated[int, msgspec.Meta(ge=1, le=_LARGEST_PORT)]


class InstanceList(msgspec.Struct, frozen=True):
    """The platform's lagging list of targets and daemons, or a share of it.

    ``share`` says what the list speaks of. A target of a service that the
    share covers and that is not among ``targets`` is not listed; of all other
    services the list says nothing.
    """

    targets: tuple[ListedTarget, ...] = ()
    daemons: tuple[ListedDaemon, ...] = ()
    share: shares.InstanceShare = shares.WHOLE


class Platform(Protocol):
    """The published files and the instance list, read and watched.

    Every method raises :class:`errors.PlatformUnavailableError` when no
    answer came in time, and :class:`errors.PlatformReplyError` when the
    answer cannot be used; it raises nothing else. An answer may always be
    older than an earlier one: the platform serves stale state at times.
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

        When nothing changes within ``timeout_s`` seconds the listing comes
        as it is then.
        """
        ...

    async def read_file(self, name: ids.FileName) -> PublishedFile:
        """Return the newest text of one file.

        Raises :class:`errors.PlatformFileMissingError`, which is a
        :class:`errors.PlatformReplyError`, when there is no such file.
        """
        ...

    async def list_instances(
        self,
        share: shares.InstanceShare = shares.WHOLE,
    ) -> InstanceList:
        """Return the instance list, or the asked share of it.

        The very same object comes again as long as the share is unchanged.
        """
        ...
