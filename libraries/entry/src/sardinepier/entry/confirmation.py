"""Until when the configuration in force is known to be the newest.

A key that was withdrawn must stop working within a bound at every daemon, also
at one that is cut off. Each daemon therefore holds the moment at which somebody
asked the platform the question whose answer confirmed its configuration: all
that was acknowledged before that question is in force here. The moment is
told on as an age, and becomes a deadline on arrival.

The clock includes the time in which the machine was suspended.
"""

import asyncio
import contextlib
import math
from collections.abc import Callable
from typing import Final

from sardinepier.core import clock as clocks


_HOPELESS_S: Final = 1.0
"""How long no further request waits after one that did so in vain."""


class Confirmation:
    """Knows how long ago the configuration was certainly the newest.

    For example::

        confirmation = Confirmation(clock, bound_s=5.0)
        confirmation.confirm(asked_s)
        if not await confirmation.wait(0.3):
            refuse()
    """

    def __init__(
        self,
        clock: clocks.Clock,
        bound_s: float | None = None,
    ) -> None:
        """Start unconfirmed. Without ``bound_s`` no confirmation is needed.

        ``on_wait`` is set by whoever can ask for a confirmation.
        """
        self.on_wait: Callable[[], None] = _nobody_asks
        self._clock = clock
        self._bound_s = bound_s
        self._asked_s: float | None = None
        self._valid_until_s = 0.0
        self._waiting = 0
        self._waiting_since_s = 0.0
        self._hopeless_until_s = -math.inf
        self._noted = asyncio.Event()

    @property
    def is_needed(self) -> bool:
        """Tell whether requests need a confirmation at all."""
        return self._bound_s is not None

    def now_s(self) -> float:
        """Return the moment to remember when asking the platform."""
        return self._clock.boot_s()

    def age_s(self) -> float | None:
        """Return how long ago the confirming question was asked."""
        if self._asked_s is None:
            return None
        return self._clock.boot_s() - self._asked_s

    def confirm(self, requested_s: float) -> None:
        """Take in that a question of ``requested_s`` confirmed the configuration."""
        if self._bound_s is None:
            return
        if self._asked_s is not None and requested_s <= self._asked_s:
            return
        self._asked_s = requested_s
        self._valid_until_s = requested_s + self._bound_s
        self._hopeless_until_s = -math.inf
        self._noted.set()

    def is_valid(self) -> bool:
        """Tell whether a key can be checked now."""
        if self._bound_s is None:
            return True
        if self._asked_s is None:
            return False
        return self._clock.boot_s() < self._valid_until_s

    def longest_wait_s(self) -> float | None:
        """Return how long requests have waited, None while none waits."""
        if not self._waiting:
            return None
        return self._clock.boot_s() - self._waiting_since_s

    async def wait(self, within_s: float) -> bool:
        """Wait until a key can be checked; return whether it can.

        After a wait in vain others end at once for a while: they are refused
        all the same.
        """
        if self.is_valid():
            return True
        if self._clock.boot_s() < self._hopeless_until_s:
            return False
        if not self._waiting:
            self._waiting_since_s = self._clock.boot_s()
            self.on_wait()
        self._waiting += 1
        with contextlib.ExitStack() as stack:
            stack.callback(self._ends_wait)
            stack.enter_context(contextlib.suppress(TimeoutError))
            async with asyncio.timeout(within_s):
                await self._until_valid()
        if not self.is_valid():
            self._hopeless_until_s = self._clock.boot_s() + _HOPELESS_S
        return self.is_valid()

    def _ends_wait(self) -> None:
        self._waiting -= 1

    async def _until_valid(self) -> None:
        while not self.is_valid():
            self._noted.clear()
            await self._noted.wait()


def _nobody_asks() -> None:
    """Stand in for ``on_wait`` while nobody can ask."""
