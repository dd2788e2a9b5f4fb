"""How long the configuration in force is known to be the newest.

A withdrawn key must stop working within a bound at every daemon, also at one
that is partitioned. Each daemon therefore keeps the time of the request to the
platform whose reply confirmed its configuration. All changes that were
acknowledged before that request are in force here. Daemons send the time to
each other as an age, from which the receiver computes a deadline.

The clock includes the time for which the machine was suspended.
"""

import asyncio
import contextlib
import math
from collections.abc import Callable
from typing import Final

from sardinepier.core import clock as clocks

_FAIL_FAST_S: Final = 1.0
"""How long requests are refused at once after a wait that timed out."""


class Confirmation:
    """Keeps when the configuration was last confirmed to be the newest.

    For example::

        confirmation = Confirmation(clock, bound_s=5.0)
        confirmation.confirm(requested_s)
        if not await confirmation.wait(0.3):
            refuse()
    """

    def __init__(
        self,
        clock: clocks.Clock,
        bound_s: float | None = None,
    ) -> None:
        """Start unconfirmed. Without ``bound_s`` no confirmation is needed.

        ``on_wait`` is called when the first request begins to wait, and is set
        by the code that can request a confirmation.
        """
        self.on_wait: Callable[[], None] = _ignore_wait
        self._clock = clock
        self._bound_s = bound_s
        self._requested_s: float | None = None
        self._valid_until_s = 0.0
        self._waiting = 0
        self._waiting_since_s = 0.0
        self._fail_fast_until_s = -math.inf
        self._confirmed = asyncio.Event()

    @property
    def is_needed(self) -> bool:
        """Return whether requests need a confirmation at all."""
        return self._bound_s is not None

    def now_s(self) -> float:
        """Return the time to keep when sending a request to the platform."""
        return self._clock.boot_s()

    def age_s(self) -> float | None:
        """Return the age of the confirming request, None without any."""
        if self._requested_s is None:
            return None
        return self._clock.boot_s() - self._requested_s

    def confirm(self, requested_s: float) -> None:
        """Record that a request sent at ``requested_s`` confirmed it."""
        if self._bound_s is None:
            return
        if self._requested_s is not None and requested_s <= self._requested_s:
            return
        self._requested_s = requested_s
        self._valid_until_s = requested_s + self._bound_s
        self._fail_fast_until_s = -math.inf
        self._confirmed.set()

    def is_valid(self) -> bool:
        """Return whether a key can be checked now."""
        if self._bound_s is None:
            return True
        if self._requested_s is None:
            return False
        return self._clock.boot_s() < self._valid_until_s

    def longest_wait_s(self) -> float | None:
        """Return how long requests have been waiting, None if none waits."""
        if not self._waiting:
            return None
        return self._clock.boot_s() - self._waiting_since_s

    async def wait(self, within_s: float) -> bool:
        """Wait until a key can be checked; return whether it can.

        For a while after a wait that timed out, further calls return False at
        once, as they would probably time out, too.
        """
        if self.is_valid():
            return True
        if self._clock.boot_s() < self._fail_fast_until_s:
            return False
        if not self._waiting:
            self._waiting_since_s = self._clock.boot_s()
            self.on_wait()
        self._waiting += 1
        with contextlib.ExitStack() as stack:
            stack.callback(self._end_wait)
            stack.enter_context(contextlib.suppress(TimeoutError))
            async with asyncio.timeout(within_s):
                await self._until_valid()
        if not self.is_valid():
            self._fail_fast_until_s = self._clock.boot_s() + _FAIL_FAST_S
        return self.is_valid()

    def _end_wait(self) -> None:
        self._waiting -= 1

    async def _until_valid(self) -> None:
        while not self.is_valid():
            self._confirmed.clear()
            await self._confirmed.wait()


def _ignore_wait() -> None:
    """Act as ``on_wait`` until a callback is set."""
