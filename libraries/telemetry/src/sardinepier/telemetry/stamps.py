"""A hybrid logical clock: stamps that order events of many processes.

A stamp consists of wall clock milliseconds and a counter. The counter keeps
the stamps of one process strictly increasing while its wall clock stands
still or goes back, and a process that receives a later stamp advances past
it. So sending a message always has a smaller stamp than receiving it, even
though wall clocks differ. Unrelated events are ordered by wall clock, which
is accurate enough for people.

Plain wall clocks would not do: with two clocks a few milliseconds apart the
timeline would show a message received before it was sent.
"""

import re
from typing import Final

import msgspec
from sardinepier.core import clock as clocks
from sardinepier.telemetry import errors

MAX_AHEAD_MS: Final = 60_000
"""Default limit on how far a peer's stamp may be ahead of the wall clock."""

_STAMP_TEXT: Final = re.compile(r'(\d{1,18})\.(\d{1,18})')


class Stamp(msgspec.Struct, frozen=True, order=True):
    """A reading of the hybrid logical clock, compared field by field."""

    wall_ms: int
    logical: int


ZERO: Final = Stamp(0, 0)


def format_stamp(stamp: Stamp) -> str:
    """Return the text form, for example ``1700000000000.3``."""
    return f'{stamp.wall_ms}.{stamp.logical}'


def parse_stamp(text: str) -> Stamp:
    """Return the stamp from its text form.

    Raises :class:`errors.BadStampError` when ``text`` is not a stamp.
    """
    match = _STAMP_TEXT.fullmatch(text)
    if match is None:
        raise errors.BadStampError(
            f'{text!r} is not a stamp',
            'Write <milliseconds>.<counter>, for example 1700000000000.0',
        )
    return Stamp(int(match.group(1)), int(match.group(2)))


class HybridClock:
    """The hybrid logical clock of one process.

    A peer whose stamp is more than ``max_ahead_ms`` ahead of this process's
    wall clock has a broken clock. Adopting the stamp would permanently move
    the whole fleet's timeline into the future, so it is only counted in
    ``refused_stamps``. Events of that peer are then ordered by wall clock.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        max_ahead_ms: int = MAX_AHEAD_MS,
    ) -> None:
        """Start from the wall clock of ``clock``."""
        self.refused_stamps = 0
        self._clock = clock
        self._max_ahead_ms = max_ahead_ms
        self._latest = Stamp(clock.wall_ms(), 0)

    def tick(self) -> Stamp:
        """Return a stamp greater than all stamps returned or adopted before."""
        wall_ms = self._clock.wall_ms()
        if wall_ms > self._latest.wall_ms:
            self._latest = Stamp(wall_ms, 0)
        else:
            self._latest = Stamp(
                self._latest.wall_ms,
                self._latest.logical + 1,
            )
        return self._latest

    def observe(self, stamp: Stamp) -> bool:
        """Advance past a peer's ``stamp``; return False if it is refused."""
        if stamp <= self._latest:
            return True
        if stamp.wall_ms > self._clock.wall_ms() + self._max_ahead_ms:
            self.refused_stamps += 1
            return False
        self._latest = stamp
        return True
