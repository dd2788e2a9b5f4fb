"""What one decision costs, and how that grows."""

import functools
import gc
import random
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Final

from sardinepier.core import clock, ids
from sardinepier.routing import (
    budget,
    caller_limits,
    choice,
    errors,
    hedging,
    in_flight,
    wait_queue,
)
from sardinepier.workbench.load import tables

_NS_PER_US: Final = 1000
_ROUNDS: Final = 5
_SIZES: Final = (10, 100, 1000, 10_000)
_CALLERS: Final = (10, 1000, 10_000, 150_000)
_WAITERS: Final = (10, 100, 1000)
_SLOTS: Final = 3
_ONE: Final = (1,)
_PRIORITIES: Final = 3
_CALLS: Final = 20_000
_QUICK_CALLS: Final = 200
_LONG_S: Final = 1000
_MANY: Final = 10_000_000
_KEPT_NAMES: Final = 1000

_Act = Callable[[], None]

_ZONE: Final = ids.ZoneName('z1')


class Cost:
    """Measures with the real clock, so its figures vary from run to run."""

    def __init__(self, seed: int, quick: bool) -> None:
        """Make fewer calls a measurement when ``quick``."""
        self._random = random.Random(seed)
        self._calls = _QUICK_CALLS if quick else _CALLS

    def table(self) -> tables.Table:
        """Return microseconds and bytes of each decision by size."""
        return tables.Table(
            'Cost of a decision',
            ('decision', 'size', 'us a call', 'bytes kept', 'bytes added'),
            [
                *self._rows('reserve and release', 'targets', _choose, _SIZES),
                *self._rows('no slot free', 'targets', _find_none, _SIZES),
                *self._rows('admit a caller', 'callers', _admit, _CALLERS),
                *self._rows('enter and leave', 'waiting', _queue, _WAITERS),
                *self._rows('retry budget', 'service', _retry, _ONE),
                *self._rows('hedge delay', 'route', _hedge, _ONE),
            ],
        )

    def _rows(
        self,
        decision: str,
        unit: str,
        make: Callable[[int, random.Random], _Act],
        sizes: Sequence[int],
    ) -> list[list[str]]:
        return [
            [decision, f'{size} {unit}', *self._measure(make, size)]
            for size in sizes
        ]

    def _measure(
        self,
        make: Callable[[int, random.Random], _Act],
        size: int,
    ) -> list[str]:
        gc.collect()
        tracemalloc.start()
        act = make(size, self._random)
        kept = tracemalloc.get_traced_memory()[0]
        self._repeat(act)
        settled = tracemalloc.get_traced_memory()[0]
        self._repeat(act)
        added = tracemalloc.get_traced_memory()[0] - settled
        tracemalloc.stop()
        best_us = min(self._repeat(act) for _ in range(_ROUNDS))
        return [f'{best_us:.2f}', f'{kept}', f'{added}']

    def _repeat(self, act: _Act) -> float:
        """Return the microseconds a call."""
        started_ns = time.perf_counter_ns()
        for _ in range(self._calls):
            act()
        elapsed_ns = time.perf_counter_ns() - started_ns
        return elapsed_ns / self._calls / _NS_PER_US


def _choose(size: int, random_source: random.Random) -> _Act:
    chooser = choice.LeastLoadedOfTwo(random_source)
    return functools.partial(_reserve, _slots(size, random_source), chooser)


def _find_none(size: int, random_source: random.Random) -> _Act:
    slots = _slots(size, random_source)
    chooser = choice.LeastLoadedOfTwo(random_source)
    for _ in range(size * _SLOTS):
        slots.reserve(chooser)
    return functools.partial(_reserve, slots, chooser)


def _reserve(
    slots: in_flight.TargetSlots,
    chooser: choice.TargetChooser,
) -> None:
    chosen = slots.reserve(chooser)
    if chosen is not None:
        slots.release(chosen)


def _admit(size: int, random_source: random.Random) -> _Act:
    # So slow and large that no bucket fills up or empties meanwhile.
    limits = caller_limits.CallerLimits(
        clock.SystemClock(),
        rate_per_s=1 / _LONG_S,
        burst=_MANY,
        capacity=size,
        random_source=random_source,
    )
    callers = [ids.CallerId(f'customer-{number}') for number in range(size)]
    for caller in callers:
        limits.admit(caller)
    kept_names = callers[:_KEPT_NAMES]
    return functools.partial(_admit_one, limits, kept_names, random_source)


def _admit_one(
    limits: caller_limits.CallerLimits,
    callers: Sequence[ids.CallerId],
    random_source: random.Random,
) -> None:
    limits.admit(random_source.choice(callers))


def _queue(size: int, random_source: random.Random) -> _Act:
    line = wait_queue.WaitQueue(
        clock.SystemClock(),
        size + 1,
        random_source,
    )
    for _ in range(size):
        line.submit(_Waiter(random_source))
    return functools.partial(_pass_through, line, random_source)


def _pass_through(
    line: wait_queue.WaitQueue,
    random_source: random.Random,
) -> None:
    waiter = _Waiter(random_source)
    line.submit(waiter)
    line.remove(waiter)


def _retry(size: int, random_source: random.Random) -> _Act:
    # Neither matters to a budget; all measurements are made alike.
    retries = budget.RetryBudget(clock.SystemClock(), 10)
    return functools.partial(_spend, retries)


def _spend(retries: budget.RetryBudget) -> None:
    retries.record_request()
    retries.try_spend()


def _hedge(_: int, random_source: random.Random) -> _Act:
    delay = hedging.HedgeDelay()
    return functools.partial(_observe, delay, random_source)


def _observe(delay: hedging.HedgeDelay, random_source: random.Random) -> None:
    delay.observe(random_source.random() * _LONG_S)
    delay.delay_ms()


class _Waiter:
    """A request that never gets a slot."""

    def __init__(self, random_source: random.Random) -> None:
        """Draw a priority and a deadline far away."""
        deadline_s = time.monotonic() + _LONG_S + random_source.random()
        self.request = wait_queue.QueuedRequest(
            random_source.randrange(_PRIORITIES),
            deadline_s,
            accepts_any_target=True,
        )

    def choose(self) -> ids.TargetId | None:
        """Find no slot."""

    def grant(self, target_id: ids.TargetId) -> None:
        """Never called, as no slot is found."""

    def refuse(self, error: errors.RefusalError) -> None:
        """Be dropped."""


def _slots(size: int, random_source: random.Random) -> in_flight.TargetSlots:
    slots = in_flight.TargetSlots(clock.SystemClock(), random_source)
    names = [ids.TargetId(f't{number}') for number in range(size)]
    slots.set_targets(
        in_flight.TargetCapacity(name, _ZONE, _SLOTS) for name in names
    )
    for name in names:
        slots.set_weight(name, 1)
    slots.set_group((), ids.InstanceId('d0'))
    return slots
