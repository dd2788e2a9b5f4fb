"""Short forms of customers' names, for messages between daemons.

Usage of limits is most of what crosses zones in steady state, and names are most
of it. Daemons that have the same limited customers, which they tell by a digest,
send the place of a name in the sorted list instead.
"""

import collections
from collections.abc import Mapping, Sequence
from typing import Final

import xxhash

from sardinepier.core import ids

_DIGEST_BITS: Final = 63
"""Bits of a non-negative integer in a message."""

_KEPT_LISTS: Final = 2
"""Lists that can be read: peers change to a new configuration at another time."""

_SEPARATOR: Final = '\x00'


class CustomerIndexes:
    """Converts names to indexes and back, for the customers of one daemon.

    For example::

        indexes.update(limits)
        index = indexes.index_of(customer)
        customer = indexes.name_of(index, indexes.digest)
    """

    def __init__(self) -> None:
        """Start without customers."""
        self.digest = 0
        self._source: object = None
        self._indexes: Mapping[ids.CustomerName, int] = {}
        self._lists: collections.OrderedDict[
            int, Sequence[ids.CustomerName]
        ] = collections.OrderedDict()

    def update(self, limited: Mapping[ids.CustomerName, object]) -> None:
        """Use the names of ``limited``, unless that is the mapping in use."""
        if limited is self._source:
            return
        self._source = limited
        names = sorted(limited)
        joined = _SEPARATOR.join(names).encode()
        self.digest = int(xxhash.xxh3_64_intdigest(joined)) % 2**_DIGEST_BITS
        self._indexes = {name: index for index, name in enumerate(names)}
        self._lists[self.digest] = names
        self._lists.move_to_end(self.digest)
        while len(self._lists) > _KEPT_LISTS:
            self._lists.popitem(last=False)

    def index_of(self, customer: ids.CustomerName) -> ids.CustomerName:
        """Return the index of a limited customer's name, as text."""
        return ids.CustomerName(str(self._indexes[customer]))

    def name_of(
        self,
        index: ids.CustomerName,
        digest: int,
    ) -> ids.CustomerName | None:
        """Return the name with ``index`` in a list, None if it is unknown."""
        names = self._lists.get(digest, ())
        if not index.isdecimal() or int(index) >= len(names):
            return None
        return names[int(index)]
