"""A hybrid logical clock: stamps that order events of many processes.

A stamp is the wall clock's milliseconds and a counter. The counter keeps
stamps of one process strictly rising while its wall clock stands still or
goes back, and a process that hears of a later stamp moves past it. So a
message's sending always gets a smaller stamp than its receipt, although no
two wall clocks agree; between unrelated events the wall clock decides, which
is good enough for people.

Plain wall clocks fail here: with a few milliseconds between two clocks the
time line would show a message arriving before it was sent.
"""

import re
from typing import Final

import msgspec
from sardinepier.core import clock as clocks
from sardinepier.telemetry import errors

MAX_AHEAD_MS: Final = 60_000
"""How far ahead of our wall clock a peer's stamp may be by default."""

_STAMP_TEXT: Final = re.compile(r'(\d{1,18})\.(\d{1,18})')


class Stamp(msgspec.Struct, frozen=True, order=True):
    """A moment of the hybrid logical clock, compared field by field."""

    wall_ms: int
    logical: int


ZERO: Final = Stamp(0, 0)


def format_stamp(stamp: Stamp) -> str:
    """Return the text form, for example ``1700000000000.3``."""
    return f'{stamp.wall_ms}.{stamp.logical}'


def parse_stamp(text: str) -> Stamp:
    """Read the text form back.

    Raises :class:`errors.BadStampError` when ``text`` is anything else.
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

    A peer whose stamp lies more than ``max_ahead_ms`` ahead of our wall clock
    has a broken clock. Adopting it would drag the whole fleet's time line
    into the future for good, so it is only counted in ``refused_stamps``;
    order against that peer is then as good as the wall clocks.
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
        """Return a stamp above every stamp returned or adopted before."""
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
        """Move past a peer's ``stamp``; return False when it was refused."""
        if stamp <= self._latest:
            return True
        if stamp.wall_ms > self._clock.wall_ms() + self._max_ahead_ms:
            self.refused_stamps += 1
            return False
        self._latest = stamp
        return True
