"""Events about published files and the platform that publishes them."""

import msgspec
from sardinepier.telemetry import quantities


class FileEvent(msgspec.Struct, frozen=True, tag=True, tag_field='kind'):
    """Base of the events about files and the platform."""


class FileAccepted(FileEvent, frozen=True):
    """A revision came into force; ``source`` is ``platform`` or a peer."""

    file_name: str
    revision: int
    source: str


class FileRejected(FileEvent, frozen=True):
    """A revision is invalid; the previous one stays in force."""

    file_name: str
    revision: int
    problems: tuple[str, ...]


class FileStale(FileEvent, frozen=True):
    """A revision older than the one in force was received and ignored."""

    file_name: str
    offered_revision: int
    current_revision: int
    source: str


class FileDeleted(FileEvent, frozen=True):
    """A file was deleted at ``revision``."""

    file_name: str
    revision: int
    source: str


class PlatformFailed(FileEvent, frozen=True):
    """The platform stopped answering; the files read before stay in force."""

    url: str
    problem: str


class PlatformRecovered(FileEvent, frozen=True):
    """The platform answers again after ``failed_for_s`` seconds."""

    url: str
    failed_for_s: quantities.Quantity
