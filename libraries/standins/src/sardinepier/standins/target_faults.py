"""The faults that can be injected into a stand-in target."""

import enum
import random
from typing import Annotated, Final

import msgspec

from sardinepier.core import clock

_MAX_PERCENT: Final = 100.0
_MS_PER_S: Final = 1000.0

Percent = Annotated[float, msgspec.Meta(ge=0, le=_MAX_PERCENT)]


class DropMoment(enum.Enum):
    """When a dropped connection is closed, relative to the execution."""

    BEFORE = 'before'
    """After the request was read; it never runs."""

    DURING = 'during'
    """While the request runs; it stays unfinished."""

    AFTER = 'after'
    """After the request has run; its answer is never sent."""

    IDLE = 'idle'
    """After the complete answer, while the connection is idle."""


class Effect(enum.Enum):
    """The effect of a fault on one request."""

    NONE = 'none'
    ERROR = 'error'
    WRONG = 'wrong'
    TRUNCATED = 'truncated'
    HANG = 'hang'
    DROP = 'drop'
    CRASH = 'crash'


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of ``POST /control/fault``; the default is no fault.

    Each percentage is the share of requests with that effect. With
    ``flap_period_ms`` above 0 the fault is active in one period and inactive
    in the next. A request whose body contains the text ``poison`` crashes the
    target in every period.
    """

    slow_factor: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    error_percent: Percent = 0.0
    wrong_percent: Percent = 0.0
    truncated_percent: Percent = 0.0
    hang_percent: Percent = 0.0
    drop_percent: Percent = 0.0
    drop_moment: DropMoment = DropMoment.DURING
    flap_period_ms: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    poison: str = ''


class FaultSource:
    """Draws the effect on each request from the current fault."""

    def __init__(
        self,
        time_source: clock.Clock,
        random_source: random.Random,
    ) -> None:
        """Start without a fault."""
        self._clock = time_source
        self._random = random_source
        self._set_at_s = time_source.monotonic_s()
        self.fault = Fault()

    def set_fault(self, fault: Fault) -> None:
        """Replace the current fault."""
        self._set_at_s = self._clock.monotonic_s()
        self.fault = fault

    def draw(self, body: bytes) -> Effect:
        """Return the effect on a request with this ``body``."""
        poison = self.fault.poison.encode()
        if poison and poison in body:
            return Effect.CRASH
        if not self._is_active():
            return Effect.NONE
        draw_percent = self._random.uniform(0, _MAX_PERCENT)
        for effect, share_percent in self._shares():
            if draw_percent < share_percent:
                return effect
            draw_percent -= share_percent
        return Effect.NONE

    def slow_factor(self) -> float:
        """Return the current factor on the service time."""
        return self.fault.slow_factor if self._is_active() else 1.0

    def _shares(self) -> tuple[tuple[Effect, float], ...]:
        return (
            (Effect.HANG, self.fault.hang_percent),
            (Effect.DROP, self.fault.drop_percent),
            (Effect.ERROR, self.fault.error_percent),
            (Effect.WRONG, self.fault.wrong_percent),
            (Effect.TRUNCATED, self.fault.truncated_percent),
        )

    def _is_active(self) -> bool:
        period_ms = self.fault.flap_period_ms
        if period_ms == 0:
            return True
        elapsed_s = self._clock.monotonic_s() - self._set_at_s
        return int(elapsed_s * _MS_PER_S / period_ms) % 2 == 0
