"""The messages that daemons exchange about files."""

from typing import Final

import msgspec

from sardinepier.core import ids
from sardinepier.membership import marks
from sardinepier.wire import messages


class KnownRevision(msgspec.Struct, frozen=True, array_like=True):
    """The revisions of one file that a daemon knows, without the text.

    ``newest`` is above ``in_force`` while the newest revision is rejected.
    """

    name: ids.FileName
    newest: ids.Revision
    in_force: ids.Revision
    deleted: bool


class ConfigurationNews(messages.Message, frozen=True):
    """Announces the sender's new mark, and the changed files if they are few."""

    mark: marks.ConfigurationMark
    changed: tuple[KnownRevision, ...]


class RevisionTableRequest(messages.Message, frozen=True):
    """Requests all revisions of a peer, unless its mark equals this one."""

    nonce: int
    mark: marks.ConfigurationMark


class RevisionTable(messages.Message, frozen=True):
    """All revisions that a peer knows; empty when the marks are equal."""

    nonce: int
    mark: marks.ConfigurationMark
    entries: tuple[KnownRevision, ...]


class FileRequest(messages.Message, frozen=True):
    """Requests one version of one file from a peer."""

    name: ids.FileName
    revision: ids.Revision


class FileAnswer(messages.Message, frozen=True):
    """One version of one file; ``text`` is ``None`` for a deletion.

    The version may be newer than the requested one. A message has one file
    only, which bounds its size to that of the largest file plus a header.
    """

    name: ids.FileName
    revision: ids.Revision
    text: str | None


KINDS: Final = (
    ConfigurationNews,
    RevisionTableRequest,
    RevisionTable,
    FileRequest,
    FileAnswer,
)
"""All message kinds of this library, for the network's codec."""
