"""Measures the time and memory of one decision, by problem size."""

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
_SINGLE: Final = (1,)
_PRIORITIES: Final = 3
_CALLS: Final = 20_000
_QUICK_CALLS: Final = 200
_LONG_TIME_S: Final = 1000
_BURST_REQUESTS: Final = 10_000_000
_SAMPLED_CALLERS: Final = 1000

_Operation = Callable[[], None]

_ZONE: Final = ids.ZoneName('z1')


class Cost:
    """Measures with the real clock, so the figures vary from run to run."""

    def __init__(self, seed: int, quick: bool) -> None:
        """Make fewer calls per measurement if ``quick``."""
        self._random = random.Random(seed)
        self._calls = _QUICK_CALLS if quick else _CALLS

    def table(self) -> tables.Table:
        """Return the microseconds and bytes of each decision by size."""
        return tables.Table(
            'Cost of a decision',
            ('decision', 'size', 'us a call', 'bytes kept', 'bytes added'),
            [
                *self._rows(
                    'reserve and release', 'targets', _make_reserve, _SIZES
                ),
                *self._rows(
                    'no slot free', 'targets', _make_reserve_when_full, _SIZES
                ),
                *self._rows('admit a caller', 'callers', _make_admit, _CALLERS),
                *self._rows(
                    'enter and leave', 'waiting', _make_pass_through, _WAITERS
                ),
                *self._rows('retry budget', 'service', _make_spend, _SINGLE),
                *self._rows('hedge delay', 'route', _make_observe, _SINGLE),
            ],
        )

    def _rows(
        self,
        decision: str,
        unit: str,
        make_operation: Callable[[int, random.Random], _Operation],
        sizes: Sequence[int],
    ) -> list[list[str]]:
        return [
            [decision, f'{size} {unit}', *self._figures(make_operation, size)]
            for size in sizes
        ]

    def _figures(
        self,
        make_operation: Callable[[int, random.Random], _Operation],
        size: int,
    ) -> list[str]:
        gc.collect()
        tracemalloc.start()
        operation = make_operation(size, self._random)
        kept = tracemalloc.get_traced_memory()[0]
        self._call_us(operation)
        settled = tracemalloc.get_traced_memory()[0]
        self._call_us(operation)
        added = tracemalloc.get_traced_memory()[0] - settled
        tracemalloc.stop()
        best_us = min(self._call_us(operation) for _ in range(_ROUNDS))
        return [f'{best_us:.2f}', f'{kept}', f'{added}']

    def _call_us(self, operation: _Operation) -> float:
        """Return the microseconds per call."""
        started_ns = time.perf_counter_ns()
        for _ in range(self._calls):
            operation()
        elapsed_ns = time.perf_counter_ns() - started_ns
        return elapsed_ns / self._calls / _NS_PER_US


def _make_reserve(size: int, random_source: random.Random) -> _Operation:
    chooser = choice.LeastLoadedOfTwo(random_source)
    return functools.partial(
        _reserve, _make_slots(size, random_source), chooser
    )


def _make_reserve_when_full(
    size: int, random_source: random.Random
) -> _Operation:
    slots = _make_slots(size, random_source)
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


def _make_admit(size: int, random_source: random.Random) -> _Operation:
    # At this rate and burst no bucket fills up or empties during a run.
    limits = caller_limits.CallerLimits(
        clock.SystemClock(),
        rate_per_s=1 / _LONG_TIME_S,
        burst=_BURST_REQUESTS,
        capacity=size,
        random_source=random_source,
    )
    callers = [ids.CallerId(f'customer-{number}') for number in range(size)]
    for caller in callers:
        limits.admit(caller)
    sampled_callers = callers[:_SAMPLED_CALLERS]
    return functools.partial(_admit, limits, sampled_callers, random_source)


def _admit(
    limits: caller_limits.CallerLimits,
    callers: Sequence[ids.CallerId],
    random_source: random.Random,
) -> None:
    limits.admit(random_source.choice(callers))


def _make_pass_through(size: int, random_source: random.Random) -> _Operation:
    queue: wait_queue.WaitQueue[ids.TargetId] = wait_queue.WaitQueue(
        clock.SystemClock(),
        size + 1,
        random_source,
    )
    for _ in range(size):
        queue.submit(_Waiter(random_source))
    return functools.partial(_pass_through, queue, random_source)


def _pass_through(
    queue: wait_queue.WaitQueue[ids.TargetId],
    random_source: random.Random,
) -> None:
    waiter = _Waiter(random_source)
    queue.submit(waiter)
    queue.remove(waiter)


def _make_spend(size: int, random_source: random.Random) -> _Operation:
    # A budget depends on neither argument; all makers have one signature.
    retries = budget.RetryBudget(clock.SystemClock(), 10)
    return functools.partial(_spend, retries)


def _spend(retries: budget.RetryBudget) -> None:
    retries.record_request()
    retries.try_spend()


def _make_observe(_: int, random_source: random.Random) -> _Operation:
    delay = hedging.HedgeDelay()
    return functools.partial(_observe, delay, random_source)


def _observe(delay: hedging.HedgeDelay, random_source: random.Random) -> None:
    delay.observe(random_source.random() * _LONG_TIME_S)
    delay.delay_ms()


class _Waiter:
    """A request that never gets a slot."""

    def __init__(self, random_source: random.Random) -> None:
        """Draw a priority and a deadline in the far future."""
        deadline_s = time.monotonic() + _LONG_TIME_S + random_source.random()
        self.request = wait_queue.QueuedRequest(
            random_source.randrange(_PRIORITIES),
            deadline_s,
            accepts_any_target=True,
        )

    def choose(self) -> ids.TargetId | None:
        """Return no target."""

    def grant(self, target_id: ids.TargetId) -> None:
        """Do nothing: no slot is ever granted."""

    def refuse(self, error: errors.RefusalError) -> None:
        """Do nothing: the request is dropped."""


def _make_slots(
    size: int, random_source: random.Random
) -> in_flight.TargetSlots:
    slots = in_flight.TargetSlots(clock.SystemClock(), random_source)
    names = [ids.TargetId(f't{number}') for number in range(size)]
    slots.set_targets(
        in_flight.TargetCapacity(name, _ZONE, _SLOTS) for name in names
    )
    for name in names:
        slots.set_weight(name, 1)
    slots.set_group((), ids.InstanceId('d0'))
    return slots
