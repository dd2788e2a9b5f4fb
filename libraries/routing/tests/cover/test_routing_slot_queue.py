"""The slot queue leaks no slots, misses no wake-ups and keeps its order."""

import asyncio
import random

import pytest
from hypothesis import settings, stateful
from hypothesis import strategies as st

from sardinepier.core import clock, errors as core_errors
from sardinepier.routing import admission, choice, errors, in_flight

_SLOTS = 3
_LENGTH = 4


def _error(caller):
    task = caller.task
    return task.exception() if task.done() and not task.cancelled() else None


def _is_full(error):
    return isinstance(error, errors.QueueFullError)


def _has_running(machine):
    return bool(machine.running)


def _has_waiting(machine):
    return bool(machine.waiting)


def _has_running_and_waiting(machine):
    return _has_running(machine) and _has_waiting(machine)


class _Caller:
    """A task that acquires a slot, and how it ended."""

    def __init__(self, machine, number, request):
        self.request = request
        self.rank = (request.priority, request.deadline_s, number)
        self.task = machine.runner.get_loop().create_task(
            machine.queue.acquire(
                request,
                lambda: machine.slots.reserve(machine.chooser),
            ),
        )


class QueueMachine(stateful.RuleBasedStateMachine):
    """Arrivals, completions, cancellations and elapsed time in any order."""

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner()
        self.clock = clock.ManualClock()
        source = random.Random(1)
        self.slots = in_flight.TargetSlots(self.clock, source)
        self.slots.set_targets(
            [
                in_flight.TargetCapacity('t1', 'z1', 1),
                in_flight.TargetCapacity('t2', 'z1', _SLOTS - 1),
            ]
        )
        self.slots.set_weight('t1', 1)
        self.slots.set_weight('t2', 1)
        self.chooser = choice.LeastLoadedOfTwo(source)
        self.queue = admission.SlotQueue(
            self.clock,
            _LENGTH,
            source,
            self.slots.release,
            recheck_interval_s=3600,
        )
        self.waiting = []
        self.running = []
        self.arrived = 0
        self.ended = 0

    def teardown(self):
        while self.running:
            self.finish(0)
        assert not self.waiting
        assert not self.slots.report()
        assert self.ended == self.arrived
        self.runner.close()

    @stateful.rule(
        priority=st.integers(0, 2),
        remaining_s=st.sampled_from([0.5, 1.0, 5.0]),
        accepts_any_target=st.booleans(),
    )
    def arrive(self, priority, remaining_s, accepts_any_target):
        self.queue.wake()
        self._settle()
        self.arrived += 1
        deadline_s = self.clock.monotonic_s() + remaining_s
        request = admission.QueuedRequest(
            priority, deadline_s, accepts_any_target
        )
        before = sorted(self.waiting, key=lambda waiter: waiter.rank)
        caller = _Caller(self, self.arrived, request)
        self.waiting.append(caller)
        self._settle()
        outcomes = [_error(waiter) for waiter in (*before, caller)]
        if len(before) < _LENGTH or caller.task.cancelled():
            assert not any(_is_full(error) for error in outcomes)
        elif isinstance(outcomes[-1], errors.QueueDeadlineError):
            assert not any(outcomes[:-1])
        elif before[-1].request.priority > priority:
            # The new request displaces only the last one.
            assert isinstance(outcomes[-2], errors.DisplacedError)
            assert not any(outcomes[:-2]) and outcomes[-1] is None
        else:
            assert _is_full(outcomes[-1])
            assert not any(outcomes[:-1])

    @stateful.precondition(_has_running)
    @stateful.rule(position=st.integers(0, _SLOTS))
    def finish(self, position):
        caller = self.running.pop(position % len(self.running))
        before = sorted(self.waiting, key=lambda waiter: waiter.rank)
        self.slots.release(caller.task.result())
        self.queue.wake()
        granted = self._settle()
        self.ended += 1
        still_waiting = [
            waiter
            for waiter in before
            if not waiter.task.cancelled() and _error(waiter) is None
        ]
        assert granted == still_waiting[: len(granted)]

    @stateful.precondition(_has_waiting)
    @stateful.rule(position=st.integers(0, _LENGTH), also_finish=st.booleans())
    def cancel(self, position, also_finish):
        self.waiting[position % len(self.waiting)].task.cancel()
        if also_finish and self.running:
            # A slot becomes free before the cancellation takes effect.
            self.finish(0)
        else:
            self._settle()

    @stateful.precondition(_has_running_and_waiting)
    @stateful.rule()
    def cancel_just_after_the_grant(self):
        caller = self.running.pop(0)
        self.ended += 1
        first = min(self.waiting, key=lambda waiter: waiter.rank)
        self.slots.release(caller.task.result())
        self.queue.wake()
        first.task.cancel()
        self._settle()

    @stateful.rule(elapsed_s=st.sampled_from([0.1, 0.6, 6.0]))
    def advance(self, elapsed_s):
        self.clock.advance(elapsed_s)
        self.queue.wake()
        self._settle()
        now_s = self.clock.monotonic_s()
        assert all(waiter.request.deadline_s > now_s for waiter in self.waiting)

    @stateful.rule(service_s=st.sampled_from([0.01, 0.4, 10.0]))
    def observe_service_time(self, service_s):
        self.queue.observe_service_time(service_s)

    @stateful.invariant()
    def no_slot_is_leaked_or_needlessly_idle(self):
        reserved = sum(self.slots.report().values())
        assert reserved == len(self.running)
        assert reserved <= _SLOTS
        assert len(self.queue) == len(self.waiting)
        assert len(self.waiting) <= _LENGTH
        if reserved < _SLOTS:
            assert not self.waiting

    def _settle(self):
        async def _run_pending_tasks():
            for _ in range(4):
                await asyncio.sleep(0)

        self.runner.run(_run_pending_tasks())
        granted, still_waiting = [], []
        for caller in self.waiting:
            if caller.task.cancelled():
                self.ended += 1
            elif _error(caller):
                self._check_refusal(_error(caller))
            elif caller.task.done():
                granted.append(caller)
            else:
                still_waiting.append(caller)
        self.waiting = still_waiting
        self.running.extend(granted)
        return granted

    def _check_refusal(self, error):
        assert isinstance(error, errors.RefusalError)
        assert error.retry_after_s > 0
        self.ended += 1


QueueMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40
)
TestQueueMachine = QueueMachine.TestCase


def _queue(length, free, **options):
    def choose():
        return free.pop() if free else None

    manual = clock.ManualClock()
    queue = admission.SlotQueue(
        manual, length, random.Random(1), free.append, **options
    )
    return manual, queue, choose


async def test_refused_callers_get_different_retry_times():
    _, queue, choose = _queue(0, [])
    queue.observe_service_time(2.0)
    refusals = await asyncio.gather(
        *(
            queue.acquire(admission.QueuedRequest(0, 9.0), choose)
            for _ in range(50)
        ),
        return_exceptions=True,
    )
    assert all(_is_full(error) for error in refusals)
    assert len({error.retry_after_s for error in refusals}) == 50
    assert min(error.retry_after_s for error in refusals) >= 2.0


async def test_a_waiting_request_is_refused_once_it_is_too_late():
    manual, queue, choose = _queue(3, [])
    queue.observe_service_time(1.0)
    waiting = asyncio.create_task(
        queue.acquire(admission.QueuedRequest(0, 2.5), choose)
    )
    await asyncio.sleep(0)
    manual.advance(1.4)
    queue.wake()
    await asyncio.sleep(0)
    assert not waiting.done()
    manual.advance(0.2)
    queue.wake()
    with pytest.raises(errors.QueueDeadlineError):
        await waiting


async def test_a_free_slot_is_used_even_if_the_estimate_says_too_late():
    _, queue, choose = _queue(3, ['t1'])
    queue.observe_service_time(60.0)
    assert await queue.acquire(admission.QueuedRequest(0, 2.5), choose) == 't1'
    with pytest.raises(errors.QueueDeadlineError):
        await queue.acquire(admission.QueuedRequest(0, 2.5), choose)


async def test_a_slot_that_becomes_free_without_an_event_is_found():
    free = []
    _, queue, choose = _queue(3, free, recheck_interval_s=0.001)
    waiting = asyncio.create_task(
        queue.acquire(admission.QueuedRequest(0, 60.0), choose)
    )
    await asyncio.sleep(0)
    free.append('t1')
    assert await asyncio.wait_for(waiting, timeout=20) == 't1'


async def test_a_request_without_a_suitable_target_does_not_block_others():
    free = []
    _, queue, choose = _queue(3, free)
    unsatisfied = asyncio.create_task(
        queue.acquire(admission.QueuedRequest(0, 60.0), lambda: None)
    )
    satisfied = asyncio.create_task(
        queue.acquire(admission.QueuedRequest(1, 60.0), choose)
    )
    await asyncio.sleep(0)
    free.append('t1')
    queue.wake()
    await asyncio.sleep(0)
    assert satisfied.done()
    assert satisfied.result() == 't1'
    unsatisfied.cancel()


async def test_an_error_in_choose_ends_only_its_own_request():
    free = []
    _, queue, choose = _queue(3, free)

    def fail():
        if free:
            raise LookupError(free[0])

    faulty = asyncio.create_task(
        queue.acquire(admission.QueuedRequest(0, 60.0), fail)
    )
    satisfied = asyncio.create_task(
        queue.acquire(admission.QueuedRequest(1, 60.0), choose)
    )
    await asyncio.sleep(0)
    free.append('t1')
    queue.wake()
    for _ in range(3):
        await asyncio.sleep(0)
    assert satisfied.done()
    assert satisfied.result() == 't1'
    with pytest.raises(LookupError):
        await faulty
    free.append('t1')
    with pytest.raises(LookupError):
        await queue.acquire(admission.QueuedRequest(0, 60.0), fail)
    assert not len(queue)


@pytest.mark.parametrize(
    ('length', 'interval_s'), [(-1, 0.05), (3, 0.0), (3, -1.0)]
)
def test_invalid_options_are_rejected(length, interval_s):
    with pytest.raises(core_errors.InvalidArgumentError):
        _queue(length, [], recheck_interval_s=interval_s)
