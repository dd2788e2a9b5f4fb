"""Clocks, injected everywhere so that tests control the time.

Deadlines are stored as readings of the process's monotonic clock and never
sent to another process, because two monotonic clocks have no common origin.
Messages carry the remaining time, which the receiver converts to a deadline
of its own.
"""

import time
from typing import Final, Protocol

_NS_PER_MS: Final = 1_000_000
_MS_PER_S: Final = 1000
_BOOT_CLOCK: Final[int] = getattr(
    time,
    'CLOCK_BOOTTIME',
    time.CLOCK_MONOTONIC,
)


class Clock(Protocol):
    """The time source of one process."""

    def monotonic_s(self) -> float:
        """Return seconds since an arbitrary origin, which never decrease."""
        ...

    def boot_s(self) -> float:
        """Return seconds since an arbitrary origin, including suspensions."""
        ...

    def wall_ms(self) -> int:
        """Return Unix time in milliseconds, for people and logs only."""
        ...


class SystemClock:
    """The clock of the operating system."""

    def monotonic_s(self) -> float:
        """Return the operating system's monotonic clock in seconds."""
        return time.monotonic()

    def boot_s(self) -> float:
        """Return seconds of a clock that includes suspensions.

        On systems other than Linux it is the monotonic clock.
        """
        return time.clock_gettime(_BOOT_CLOCK)

    def wall_ms(self) -> int:
        """Return the operating system's wall clock in milliseconds."""
        return time.time_ns() // _NS_PER_MS


class ManualClock:
    """A clock that only advances when a test advances it.

    For example ``ManualClock(start_s=10.0)`` reads 10.0 until
    ``advance(2.5)`` makes it read 12.5.
    """

    def __init__(self, start_s: float = 0.0) -> None:
        """Start the clock at ``start_s`` seconds."""
        self._now_s = start_s
        self._suspended_s = 0.0

    def monotonic_s(self) -> float:
        """Return the current reading in seconds."""
        return self._now_s

    def boot_s(self) -> float:
        """Return the reading in seconds, including all suspensions."""
        return self._now_s + self._suspended_s

    def wall_ms(self) -> int:
        """Return the reading in milliseconds."""
        return int(self._now_s * _MS_PER_S)

    def advance(self, elapsed_s: float) -> None:
        """Advance the clock by ``elapsed_s`` seconds."""
        self._now_s += elapsed_s

    def suspend(self, elapsed_s: float) -> None:
        """Advance only the boot clock, as when the machine is suspended."""
        self._suspended_s += elapsed_s
