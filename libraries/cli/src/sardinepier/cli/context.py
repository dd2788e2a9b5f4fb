"""What a command uses of the world around it, replaced in tests."""

import asyncio
import dataclasses
import random
import sys
from collections.abc import Awaitable, Callable

from sardinepier.core import clock as clocks


def write_output(line: str) -> None:
    """Write one line to standard output, at once."""
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def write_error(line: str) -> None:
    """Write one line to standard error."""
    sys.stderr.write(f'{line}\n')


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """Clock, sleep, random source and output of a command.

    ``random_source`` makes the unique part of a key, so by default it is the
    operating system's: two tools started at once must not agree.
    """

    clock: clocks.Clock = dataclasses.field(
        default_factory=clocks.SystemClock,
    )
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep
    random_source: random.Random = dataclasses.field(
        default_factory=random.SystemRandom,
    )
    write: Callable[[str], None] = write_output
    write_error: Callable[[str], None] = write_error
