"""The summary of configuration that rides on each heartbeat."""

import msgspec


class ConfigurationMark(msgspec.Struct, frozen=True, array_like=True):
    """The newest revision that a daemon holds and a digest of all files.

    Two daemons with equal marks hold the same files. ``digest`` is an
    unsigned number of at most 64 bits.
    """

    newest_revision: int
    digest: int
