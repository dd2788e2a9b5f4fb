"""The configuration summary that each heartbeat carries."""

import msgspec


class ConfigurationMark(msgspec.Struct, frozen=True, array_like=True):
    """The newest revision that a daemon has, and a digest of all its files.

    Two daemons with equal marks have the same files. ``digest`` is an
    unsigned number of at most 64 bits.
    """

    newest_revision: int
    digest: int
