"""The queue for slots leaks none, loses no wake-up and keeps its order."""

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


def _some_run(machine):
    return bool(machine.running)


def _some_wait(machine):
    return bool(machine.waiting)


def _some_run_and_wait(machine):
    return _some_run(machine) and _some_wait(machine)


class _Caller:
    """A task that acquires a slot, and how it ended."""

    def __init__(self, machine, number, work):
        self.work = work
        self.rank = (work.priority, work.deadline_s, number)
        self.task = machine.runner.get_loop().create_task(
            machine.queue.acquire(
                work,
                lambda: machine.slots.reserve(machine.chooser),
            ),
        )


class QueueMachine(stateful.RuleBasedStateMachine):
    """Arrivals, ends, cancellations and time in any order."""

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
        work = admission.QueuedRequest(priority, deadline_s, accepts_any_target)
        before = sorted(self.waiting, key=lambda one: one.rank)
        caller = _Caller(self, self.arrived, work)
        self.waiting.append(caller)
        self._settle()
        ends = [_error(one) for one in (*before, caller)]
        if len(before) < _LENGTH or caller.task.cancelled():
            assert not any(_is_full(end) for end in ends)
        elif isinstance(ends[-1], errors.QueueDeadlineError):
            assert not any(ends[:-1])
        elif before[-1].work.priority > priority:
            # The newcomer takes the place of the last one, and no other's.
            assert isinstance(ends[-2], errors.DisplacedError)
            assert not any(ends[:-2]) and ends[-1] is None
        else:
            assert _is_full(ends[-1])
            assert not any(ends[:-1])

    @stateful.precondition(_some_run)
    @stateful.rule(place=st.integers(0, _SLOTS))
    def finish(self, place):
        caller = self.running.pop(place % len(self.running))
        before = sorted(self.waiting, key=lambda one: one.rank)
        self.slots.release(caller.task.result())
        self.queue.wake()
        granted = self._settle()
        self.ended += 1
        alive = [
            one
            for one in before
            if not one.task.cancelled() and _error(one) is None
        ]
        assert granted == alive[: len(granted)]

    @stateful.precondition(_some_wait)
    @stateful.rule(place=st.integers(0, _LENGTH), also_finish=st.booleans())
    def cancel(self, place, also_finish):
        self.waiting[place % len(self.waiting)].task.cancel()
        if also_finish and self.running:
            # A slot comes free between the cancellation and its effect.
            self.finish(0)
        else:
            self._settle()

    @stateful.precondition(_some_run_and_wait)
    @stateful.rule()
    def cancel_just_after_the_grant(self):
        caller = self.running.pop(0)
        self.ended += 1
        best = min(self.waiting, key=lambda one: one.rank)
        self.slots.release(caller.task.result())
        self.queue.wake()
        best.task.cancel()
        self._settle()

    @stateful.rule(elapsed_s=st.sampled_from([0.1, 0.6, 6.0]))
    def advance(self, elapsed_s):
        self.clock.advance(elapsed_s)
        self.queue.wake()
        self._settle()
        now_s = self.clock.monotonic_s()
        assert all(one.work.deadline_s > now_s for one in self.waiting)

    @stateful.rule(service_s=st.sampled_from([0.01, 0.4, 10.0]))
    def observe_service_time(self, service_s):
        self.queue.observe_service_time(service_s)

    @stateful.invariant()
    def nothing_is_leaked_or_idle(self):
        held = sum(self.slots.report().values())
        assert held == len(self.running)
        assert held <= _SLOTS
        assert len(self.queue) == len(self.waiting)
        assert len(self.waiting) <= _LENGTH
        if held < _SLOTS:
            assert not self.waiting

    def _settle(self):
        async def _turns():
            for _ in range(4):
                await asyncio.sleep(0)

        self.runner.run(_turns())
        granted, still = [], []
        for caller in self.waiting:
            if caller.task.cancelled():
                self.ended += 1
            elif _error(caller):
                self._check_refusal(_error(caller))
            elif caller.task.done():
                granted.append(caller)
            else:
                still.append(caller)
        self.waiting = still
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


async def test_refusals_tell_different_callers_different_times():
    _, queue, choose = _queue(0, [])
    queue.observe_service_time(2.0)
    ends = await asyncio.gather(
        *(
            queue.acquire(admission.QueuedRequest(0, 9.0), choose)
            for _ in range(50)
        ),
        return_exceptions=True,
    )
    assert all(_is_full(end) for end in ends)
    assert len({end.retry_after_s for end in ends}) == 50
    assert min(end.retry_after_s for end in ends) >= 2.0


async def test_work_that_can_not_be_done_in_time_is_refused_while_waiting():
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


async def test_a_slot_that_comes_free_by_time_alone_is_found():
    free = []
    _, queue, choose = _queue(3, free, recheck_interval_s=0.001)
    waiting = asyncio.create_task(
        queue.acquire(admission.QueuedRequest(0, 60.0), choose)
    )
    await asyncio.sleep(0)
    free.append('t1')
    assert await asyncio.wait_for(waiting, timeout=20) == 't1'


async def test_a_request_that_refuses_targets_does_not_block_the_others():
    free = []
    _, queue, choose = _queue(3, free)
    picky = asyncio.create_task(
        queue.acquire(admission.QueuedRequest(0, 60.0), lambda: None)
    )
    other = asyncio.create_task(
        queue.acquire(admission.QueuedRequest(1, 60.0), choose)
    )
    await asyncio.sleep(0)
    free.append('t1')
    queue.wake()
    await asyncio.sleep(0)
    assert other.done()
    assert other.result() == 't1'
    picky.cancel()


async def test_a_choice_that_fails_ends_its_own_request_and_no_other():
    free = []
    _, queue, choose = _queue(3, free)

    def fail():
        if free:
            raise LookupError(free[0])

    faulty = asyncio.create_task(
        queue.acquire(admission.QueuedRequest(0, 60.0), fail)
    )
    other = asyncio.create_task(
        queue.acquire(admission.QueuedRequest(1, 60.0), choose)
    )
    await asyncio.sleep(0)
    free.append('t1')
    queue.wake()
    for _ in range(3):
        await asyncio.sleep(0)
    assert other.done()
    assert other.result() == 't1'
    with pytest.raises(LookupError):
        await faulty
    free.append('t1')
    with pytest.raises(LookupError):
        await queue.acquire(admission.QueuedRequest(0, 60.0), fail)
    assert not len(queue)


@pytest.mark.parametrize(
    ('length', 'interval_s'), [(-1, 0.05), (3, 0.0), (3, -1.0)]
)
def test_wrong_options_are_refused_at_the_start(length, interval_s):
    with pytest.raises(core_errors.InvalidArgumentError):
        _queue(length, [], recheck_interval_s=interval_s)
