"""Counters of the calls to a stand-in platform."""

import msgspec


class CallCounts(msgspec.Struct):
    """The number of calls of each kind; a waiting watch counts once."""

    lists: int = 0
    watches: int = 0
    files: int = 0
    instances: int = 0

    @property
    def total(self) -> int:
        """Return the number of all calls."""
        return self.lists + self.watches + self.files + self.instances
