"""What daemons tell each other about files."""

from typing import Final

import msgspec

from sardinepier.core import ids
from sardinepier.membership import marks
from sardinepier.wire import messages


class KnownRevision(msgspec.Struct, frozen=True, array_like=True):
    """What a daemon knows of one file, without its text.

    ``newest`` is above ``in_force`` while the newest revision is rejected.
    """

    name: ids.FileName
    newest: ids.Revision
    in_force: ids.Revision
    deleted: bool


class ConfigurationNews(messages.Message, frozen=True):
    """The sender's mark has changed, by these files if they are few."""

    mark: marks.ConfigurationMark
    changed: tuple[KnownRevision, ...]


class RevisionTableRequest(messages.Message, frozen=True):
    """Asks a peer for all revisions, unless its mark equals this one."""

    nonce: int
    mark: marks.ConfigurationMark


class RevisionTable(messages.Message, frozen=True):
    """All that a peer knows; no entries when the marks are equal."""

    nonce: int
    mark: marks.ConfigurationMark
    entries: tuple[KnownRevision, ...]


class FileRequest(messages.Message, frozen=True):
    """Asks a peer for one version of one file."""

    name: ids.FileName
    revision: ids.Revision


class FileAnswer(messages.Message, frozen=True):
    """One version of one file; ``text`` is ``None`` for a deletion.

    It may be newer than what was asked for. One file a message keeps each
    message below the size of the largest file and a little more.
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
"""All kinds, for the network's codec."""
