"""Processor time and memory of something done within this process."""

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable
from typing import Final, TypeVar

import msgspec

_US_PER_S: Final = 1_000_000
_NS_PER_US: Final = 1000
_ROUNDS: Final = 7
_ROUND_S: Final = 0.05

Made = TypeVar('Made')


class Cost(msgspec.Struct, frozen=True):
    """Processor time of one call: the median of some rounds, and spread."""

    median_us: float
    deviation_us: float


def cpu_cost(action: Callable[[], object], rounds: int = _ROUNDS) -> Cost:
    """Measure ``action`` by processor time, which waiting does not count to.

    Each round repeats it for some time, because the clock of processor time
    is coarse beside a call of a few microseconds.
    """
    action()
    repeats = _repeats(action)
    taken = [_round_us(action, repeats) for _ in range(rounds)]
    return Cost(statistics.median(taken), statistics.pstdev(taken))


def once_us(action: Callable[[], object]) -> float:
    """Return the processor time of one call which cannot be repeated."""
    began_ns = time.process_time_ns()
    action()
    return (time.process_time_ns() - began_ns) / _NS_PER_US


def held_bytes(make: Callable[[], Made]) -> tuple[int, Made]:
    """Return the memory that a made object holds, and the object."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    made = make()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return after - before, made


def _repeats(action: Callable[[], object]) -> int:
    began_s = time.process_time()
    repeats = 0
    while time.process_time() - began_s < _ROUND_S:
        action()
        repeats += 1
    return repeats


def _round_us(action: Callable[[], object], repeats: int) -> float:
    began_s = time.process_time()
    for _ in range(repeats):
        action()
    return (time.process_time() - began_s) * _US_PER_S / repeats
