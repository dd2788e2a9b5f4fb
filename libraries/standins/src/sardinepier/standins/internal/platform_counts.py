"""How often a stand-in platform was called."""

import msgspec


class CallCounts(msgspec.Struct):
    """How often each kind of call was made, a waiting watch counted once."""

    lists: int = 0
    watches: int = 0
    files: int = 0
    instances: int = 0

    @property
    def total(self) -> int:
        """Return the number of all calls."""
        return self.lists + self.watches + self.files + self.instances
