"""Finds out whether the peer of a slow exchange is gone, or reads late.

TCP's user timeout also counts the time in which a peer that answers has closed
its receive window. While one answers, it is therefore raised, and what Linux
reports of the connection decides: a peer that is gone answers no segment and no
probe. Without these reports the user timeout stays as it was set.
"""

import asyncio
import dataclasses
import socket
import struct
from collections.abc import Callable
from typing import Any, Final

from sardinepier.gateway import keepalive

_FIRST_CHECK_S: Final = 2.0
_INTERVAL_S: Final = 0.25
_GONE_MS: Final = 4000
"""How long a peer may answer nothing, as for keep-alive."""

_MIN_PROBES: Final = 2

_INFO: Final = struct.Struct('=BxxB20xI28xI84xI')
"""State, unanswered probes, unacknowledged segments, milliseconds since the last
acknowledgement and bytes not sent, in Linux' ``struct tcp_info``."""

_ESTABLISHED: Final = 1


@dataclasses.dataclass(frozen=True, slots=True)
class _Report:
    """What the kernel knows of a connection."""

    probes: int
    """Probes of a closed window that the peer has not answered."""

    unacknowledged: int
    silent_ms: int
    unsent_bytes: int

    @property
    def is_pending(self) -> bool:
        """Return whether the peer has not taken all that was written."""
        return bool(self.unacknowledged or self.unsent_bytes)

    @property
    def is_silent(self) -> bool:
        """Return whether segments or probes were left unanswered for long.

        Probes of a closed window may be rare, so that silence alone says
        nothing, and a single one may be lost.
        """
        is_asked = self.unacknowledged or self.probes >= _MIN_PROBES
        return bool(is_asked) and self.silent_ms >= _GONE_MS


class PeerWatch:
    """Watches the peer of one connection while an exchange is open.

    For example::

        watch = PeerWatch(sock, handler.end_as_gone)
        watch.start()
        ...
        watch.stop()
    """

    def __init__(self, sock: Any, end_as_gone: Callable[[], object]) -> None:
        """Call ``end_as_gone`` once the peer is gone."""
        self._sock = sock
        self._end_as_gone = end_as_gone
        self._timer: asyncio.TimerHandle | None = None
        self._was_silent = False
        self._is_raised = False

    @property
    def is_possible(self) -> bool:
        """Return whether the kernel reports on the connection."""
        return _report(self._sock) is not None

    def start(self) -> None:
        """Begin to watch, from some time after now on."""
        self._was_silent = False
        self._check_after(_FIRST_CHECK_S)

    def stop(self) -> None:
        """End watching."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._raise_timeout(is_raised=False)

    def _check_after(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._check)

    def _check(self) -> None:
        report = _report(self._sock)
        if report is None:
            return
        self._raise_timeout(is_raised=report.is_pending)
        is_gone = self._was_silent and report.is_silent
        self._was_silent = report.is_silent
        self._check_after(_INTERVAL_S)
        if is_gone:
            self._end_as_gone()

    def _raise_timeout(self, *, is_raised: bool) -> None:
        if is_raised is not self._is_raised:
            self._is_raised = is_raised
            keepalive.set_user_timeout(self._sock, is_long=is_raised)


def _report(sock: Any) -> _Report | None:
    """Return what the kernel knows, None if it tells nothing."""
    option = getattr(socket, 'TCP_INFO', None)
    if option is None:
        return None
    try:
        told = sock.getsockopt(socket.IPPROTO_TCP, option, _INFO.size)
    except OSError:
        return None
    if len(told) < _INFO.size:
        return None
    state, *numbers = _INFO.unpack(told)
    return _Report(*numbers) if state == _ESTABLISHED else None
