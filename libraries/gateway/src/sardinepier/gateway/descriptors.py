"""How the descriptors of a process are shared out.

A process without a free one can't accept callers, and it reaches neither
targets nor other daemons nor the platform. Therefore callers get only a part.
"""

import resource
from typing import Final

_FILE_DESCRIPTORS: Final = 200
"""Kept for files, whatever the number of sockets."""

_CALLERS_PERCENT: Final = 60
_PAGES_PERCENT: Final = 10
_PERCENT: Final = 100
_UNLIMITED: Final = 1_048_576


def system_limit() -> int:
    """Return how many descriptors the system lets this process open."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return _UNLIMITED if soft_limit == resource.RLIM_INFINITY else soft_limit


def sockets_of(max_descriptors: int) -> int:
    """Return how many of the descriptors are left for sockets."""
    return max(1, max_descriptors - _FILE_DESCRIPTORS)


def default_sockets() -> int:
    """Return how many sockets the system lets this process open."""
    return sockets_of(system_limit())


def caller_connections(sockets: int) -> int:
    """Return how many connections callers may keep open for requests."""
    return max(1, sockets * _CALLERS_PERCENT // _PERCENT)


def page_connections(sockets: int) -> int:
    """Return how many connections may be open to one of the daemon's pages."""
    return max(1, sockets * _PAGES_PERCENT // _PERCENT)
