"""The external dependencies of a command, which tests replace."""

import asyncio
import dataclasses
import random
import sys
from collections.abc import Awaitable, Callable

from sardinepier.core import clock as clocks


def write_output(line: str) -> None:
    """Write one line to standard output and flush it."""
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def write_error(line: str) -> None:
    """Write one line to standard error."""
    sys.stderr.write(f'{line}\n')


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """Clock, sleep, random source and output of a command.

    ``random_source`` generates the unique part of an idempotency key. The
    default is the operating system's, so that two tools started at the same
    time generate different keys.
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
