"""TCP options that detect a peer which disappears without closing.

A machine that loses power or a link that is cut sends no FIN or RST, so that an
exchange would otherwise stay open until its deadline. A peer whose process is
silent is not affected as long as its machine acknowledges segments. Options
that the platform does not have are left out.
"""

import contextlib
import socket
from typing import Any, Final

_TCP_RTO_MAX_MS: Final = 44
"""Option of Linux 6.15 and later, not yet named by ``socket``."""

_MAX_PROBE_INTERVAL_MS: Final = 1000
"""Longest pause between two probes of a closed receive window, which become
rarer otherwise."""

_IDLE_S: Final = 1
_INTERVAL_S: Final = 1
_PROBES: Final = 3
_USER_TIMEOUT_MS: Final = 4000
"""How long sent bytes may stay unacknowledged: as long as keep-alive takes to
give up on a peer while nothing is in flight."""

_LONG_BODY_TIMEOUT_MS: Final = 30000
"""The same while a peer may take bytes late. Linux also counts the time in
which the peer's receive window is closed, and one that reads its request late
is not gone."""

MAX_SHORT_BYTES: Final = 32768
"""Length of a body that usually fits into the receive window of a target, which
is 64 KB initially on Linux. Used where the kernel does not tell whether the peer
answers."""

_KEEPALIVE_OPTIONS: Final = (
    ('TCP_KEEPIDLE', _IDLE_S),
    ('TCP_KEEPINTVL', _INTERVAL_S),
    ('TCP_KEEPCNT', _PROBES),
)


def enable(sock: Any) -> None:
    """Turn on keep-alive and the user timeout of a connected TCP socket."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for name, number in _KEEPALIVE_OPTIONS:
        _set(sock, name, number)
    with contextlib.suppress(OSError):
        sock.setsockopt(
            socket.IPPROTO_TCP, _TCP_RTO_MAX_MS, _MAX_PROBE_INTERVAL_MS
        )
    set_user_timeout(sock, is_long=False)


def set_user_timeout(sock: Any, *, is_long: bool) -> None:
    """Set the user timeout for a request with a long or a short body."""
    timeout_ms = _LONG_BODY_TIMEOUT_MS if is_long else _USER_TIMEOUT_MS
    _set(sock, 'TCP_USER_TIMEOUT', timeout_ms)


def _set(sock: Any, name: str, number: int) -> None:
    option = getattr(socket, name, None)
    if option is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, option, number)
