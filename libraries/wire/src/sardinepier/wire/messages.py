"""What every message between daemons is made of.

A library declares its own messages as subclasses of :class:`Message` and the
daemon hands all of them to the network's codec. For example::

    class Ping(messages.Message, frozen=True):
        sequence: int

The name of the class is the tag on the wire, so it is unique in the process.
"""

import functools
import ipaddress
from typing import Final

import msgspec

from sardinepier.core import ids

_MAX_PORT: Final = 65535
_CHECKED_IPS: Final = 4096


@functools.lru_cache(maxsize=_CHECKED_IPS)
def _is_ip(text: str) -> bool:
    # Cached, because every received message names its sender's address.
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


class PeerAddress(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Where a daemon receives messages: an IP number and a TCP port."""

    ip: str
    port: int

    def is_valid(self) -> bool:
        """Tell whether this is an IP number and a port one can connect to."""
        return 0 < self.port <= _MAX_PORT and _is_ip(self.ip)


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base of all messages.

    Fields travel by position to save bytes. A new field goes to the end and
    has a default, so that daemons of neighbouring versions still talk.
    """


class Sender(msgspec.Struct, frozen=True):
    """Who sent a message, and the address where that process receives."""

    instance_id: ids.InstanceId
    address: PeerAddress
