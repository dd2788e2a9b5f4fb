"""An event loop whose time jumps to the next timer instead of passing.

Code on this loop takes only processor time, and equal seeds give equal runs.
Nothing on it may wait for a socket or a thread.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from sardinepier.core import errors

Result = TypeVar('Result')
_MS_PER_S = 1000


class StalledError(errors.SardinepierError):
    """All tasks are waiting, and no timer is scheduled."""


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop with virtual time, which starts at 0 s."""

    def __init__(self) -> None:
        """Start without tasks."""
        self.now_s = 0.0
        super().__init__(_JumpingSelector(self))

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.now_s


class VirtualClock:
    """A clock that reads the time of a virtual loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Read the time of ``loop``."""
        self._loop = loop

    def monotonic_s(self) -> float:
        """Return the loop's seconds."""
        return self._loop.time()

    def boot_s(self) -> float:
        """Return the loop's seconds: nothing here is ever suspended."""
        return self._loop.time()

    def wall_ms(self) -> int:
        """Return the loop's milliseconds."""
        return int(self._loop.time() * _MS_PER_S)


class _JumpingSelector(selectors.SelectSelector):
    """Advances the virtual time instead of waiting."""

    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise StalledError(
                'All tasks are waiting and no timer is scheduled',
                'Give each wait in the emulation a timeout',
            )
        self._loop.now_s += max(0.0, timeout)
        return []


def run(main: Coroutine[Any, Any, Result]) -> Result:
    """Run ``main`` to completion on a new virtual loop."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
