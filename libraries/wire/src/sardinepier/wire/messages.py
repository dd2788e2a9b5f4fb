"""Base types of all messages between daemons.

A library declares its messages as subclasses of :class:`Message`, and the
daemon passes all of them to the network's codec. For example::

    class Ping(messages.Message, frozen=True):
        sequence: int

The class name is the tag on the wire, so it must be unique in the process.
"""

import functools
import ipaddress
from typing import Final

import msgspec

from sardinepier.core import ids

_MAX_PORT: Final = 65535
_IP_CACHE_SIZE: Final = 4096


@functools.lru_cache(maxsize=_IP_CACHE_SIZE)
def _is_ip(text: str) -> bool:
    # Cached, because every received message has its sender's address.
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


class PeerAddress(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Where a daemon receives messages: an IP address and a TCP port."""

    ip: str
    port: int

    def is_valid(self) -> bool:
        """Return whether this is a valid IP address and a nonzero port."""
        return 0 < self.port <= _MAX_PORT and _is_ip(self.ip)


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base of all messages.

    Fields are encoded by position to save bytes. A new field is added at the
    end with a default, so that daemons of adjacent versions can communicate.
    """


class Sender(msgspec.Struct, frozen=True):
    """The process that sent a message and the address where it receives."""

    instance_id: ids.InstanceId
    address: PeerAddress
