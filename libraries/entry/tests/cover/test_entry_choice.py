"""The choice of a target for a request, with a clock set by the test."""

import asyncio
import itertools

import entry_support as support
import pytest
from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.entry import attempt_requirements, refusals
from sardinepier.routing import admission


class Bench:
    """A pool of three targets in the own zone and one in another zone."""

    def __init__(self):
        self.clock = clocks.ManualClock(100.0)
        self.pool = support.service_pool_of(self.clock, 3)
        self.pool.targets.set(
            [
                *(support.listed(name) for name in ('t1', 't2', 't3')),
                support.listed('far', zone=ids.ZoneName('z2')),
            ],
        )

    def requirements(
        self, tried=(), since_s=None, is_final_attempt=False, wait_s=0.3
    ):
        now_s = self.clock.monotonic_s() if since_s is None else since_s
        return attempt_requirements.AttemptRequirements(
            tried, 0, now_s, now_s + wait_s, is_final_attempt
        )

    def send(self, **options):
        record = self.pool.try_acquire(self.requirements(**options))
        if record is None:
            return None
        self.pool.started(record)
        return record.listed.target_id

    def record(self, name):
        return self.pool.targets.find(ids.TargetId(name))

    def mark_answered(self, *names):
        for name in names:
            self.record(name).estimate.answered(self.clock.monotonic_s())


@pytest.fixture
def bench():
    return Bench()


def test_the_target_that_answered_a_moment_ago_is_selected(bench):
    bench.mark_answered('t2')
    assert bench.send() == 't2'


def test_the_own_zone_comes_first_among_equals(bench):
    bench.mark_answered('t1', 't2', 't3', 'far')
    selected = [bench.send() for _ in range(9)]
    assert 'far' not in selected
    assert bench.send() == 'far'


def test_a_sound_target_of_another_zone_is_preferred_to_a_failing_one(bench):
    bench.mark_answered('far')
    for name in ('t1', 't2', 't3'):
        bench.record(name).estimate.failed(bench.clock.monotonic_s())
    assert bench.send() == 'far'


def test_no_failing_target_is_selected_while_a_sound_one_is_busy(bench):
    bench.mark_answered('t1')
    for name in ('t2', 't3', 'far'):
        bench.record(name).estimate.failed(bench.clock.monotonic_s())
    assert [bench.send() for _ in range(3)] == ['t1', 't1', 't1']
    assert bench.send() is None


def test_after_a_wait_a_suspected_target_is_selected(bench):
    bench.mark_answered('t1')
    for name in ('t2', 't3', 'far'):
        bench.record(name).estimate.failed(bench.clock.monotonic_s())
    since_s = bench.clock.monotonic_s()
    for _ in range(3):
        bench.send()
    bench.clock.advance(0.3)
    assert bench.send(since_s=since_s) in {'t2', 't3', 'far'}


def test_a_suspected_target_gets_one_request_until_that_is_settled(bench):
    # Only attempts that began after the last estimate count for a target.
    bench.clock.advance(0.01)
    first = bench.send()
    second = bench.send()
    assert second != first
    bench.clock.advance(0.05)
    # They have not failed at once, so that they are the best targets by now.
    assert bench.send() in {first, second}


def test_no_target_gets_the_same_request_twice(bench):
    tried = {'t1', 't2', 't3', 'far'}
    assert bench.send(tried=tried) is None


def test_a_target_is_never_given_more_than_its_slots(bench):
    bench.mark_answered('t1', 't2', 't3', 'far')
    selected = [bench.send() for _ in range(20)]
    assert all(selected.count(name) <= 3 for name in ('t1', 't2', 't3', 'far'))
    assert selected.count(None) == 8


def test_a_target_that_joined_later_is_tried(bench):
    bench.mark_answered('t1', 't2', 't3')
    bench.pool.targets.set(
        [
            *(record.listed for record in bench.pool.targets.records()),
            support.listed('new', warm_in_s=3.0),
        ],
    )
    assert bench.send() != 'new'
    bench.clock.advance(6.0)
    bench.mark_answered('t1', 't2', 't3')
    assert bench.send() == 'new'


def fail_a_tenth(bench):
    """Let a tenth of the attempts at ``t1`` fail, not early."""
    for number in range(20):
        if number % 10:
            bench.pool.answered(bench.record('t1'), 0.1)
        else:
            bench.pool.failed(bench.record('t1'), 0.1)


def test_while_requests_fail_no_sound_target_is_left_idle(bench):
    """Guards against sound targets without requests while many requests fail.

    In a trial four of six sound targets were idle while a fifth of the requests
    failed.
    """
    bench.pool.typical_latency_s = 0.1
    selected = set()
    for _ in range(20):
        bench.clock.advance(0.1)
        fail_a_tenth(bench)
        record = bench.pool.try_acquire(bench.requirements())
        bench.pool.finished(record, bench.pool.started(record))
        selected.add(record.listed.target_id)
    assert selected >= {'t1', 't2', 't3'}


def test_while_requests_fail_a_failing_target_stays_idle(bench):
    bench.pool.typical_latency_s = 0.1
    selected = set()
    for _ in range(20):
        bench.clock.advance(0.1)
        fail_a_tenth(bench)
        bench.pool.failed(bench.record('t3'), 0)
        record = bench.pool.try_acquire(bench.requirements())
        bench.pool.finished(record, bench.pool.started(record))
        selected.add(record.listed.target_id)
    assert 't3' not in selected


def serve(bench, seconds, **options):
    """Serve ten requests a second; return when which target served one."""
    used = []
    for _ in range(seconds * 10):
        bench.clock.advance(0.1)
        record = bench.pool.try_acquire(bench.requirements(**options))
        bench.pool.finished(record, bench.pool.started(record))
        bench.pool.answered(record, 0.1)
        now_s = bench.clock.monotonic_s()
        used.append((now_s, record.listed.target_id))
    return used


def longest_idle_s(used, name):
    times_s = [100.0, *(at_s for at_s, by in used if by == name), used[-1][0]]
    return max(
        later_s - earlier_s
        for earlier_s, later_s in itertools.pairwise(times_s)
    )


def test_without_failures_requests_that_run_once_go_to_few_targets(bench):
    """All but the requests that explore an idle target go to one target."""
    names = [name for _, name in serve(bench, 20, is_final_attempt=True)]
    max_count = max(names.count(name) for name in ('t1', 't2', 't3'))
    assert max_count >= 0.75 * len(names)


@pytest.mark.parametrize('is_final_attempt', [True, False])
def test_no_target_of_the_zone_is_idle_for_two_seconds(bench, is_final_attempt):
    """Requests may fail all at once, when it is too late to spread them."""
    used = serve(bench, 20, is_final_attempt=is_final_attempt)
    for name in ('t1', 't2', 't3'):
        assert longest_idle_s(used, name) < 2.0
    assert 'far' not in {name for _, name in used}


def test_a_target_used_by_other_daemons_of_the_zone_is_not_idle(bench):
    for _ in range(30):
        bench.clock.advance(0.1)
        bench.mark_answered('t2', 't3')
        record = bench.pool.try_acquire(
            bench.requirements(is_final_attempt=True)
        )
        bench.pool.finished(record, bench.pool.started(record))
        bench.mark_answered(record.listed.target_id)
    assert bench.record('t2').last_known_use_s() == bench.clock.monotonic_s()


def test_a_suspected_target_is_explored_by_requests_that_may_be_retried(bench):
    """The sooner it is known to have recovered, the more slots there are."""
    bench.mark_answered('t1', 't2')
    bench.record('t3').estimate.failed(bench.clock.monotonic_s())
    bench.clock.advance(1.1)
    bench.mark_answered('t1', 't2')
    assert bench.send(is_final_attempt=True) in {'t1', 't2'}
    assert bench.send() == 't3'
    assert bench.send() in {'t1', 't2'}


def test_a_second_attempt_does_not_explore(bench):
    bench.clock.advance(5.0)
    bench.mark_answered('t1')
    assert bench.send(tried={'t3'}) == 't1'


def test_an_overdue_attempt_counts_against_its_target(bench):
    bench.mark_answered('t1', 't2')
    bench.pool.typical_latency_s = 0.2
    first = bench.send()
    bench.clock.advance(1.5)
    bench.mark_answered('t1', 't2')
    assert bench.send() not in {first, None}


def test_daemons_that_share_a_zone_prefer_different_targets(bench):
    """Among equal targets each daemon prefers another one."""
    first = [bench.record(name) for name in ('t1', 't2', 't3')]
    for record, preference_offset in zip(first, (0.9, 0.1, 0.5), strict=True):
        record.preference_offset = preference_offset
    bench.mark_answered('t1', 't2', 't3')
    bench.pool.shares_zone = True
    assert bench.send() == 't2'


def test_a_daemon_that_shares_its_zone_still_avoids_failing_targets(bench):
    bench.record('t1').preference_offset = 0.0
    bench.record('t2').preference_offset = 1.0
    bench.mark_answered('t2')
    bench.pool.shares_zone = True
    bench.pool.failed(bench.record('t1'), 0)
    assert bench.send() == 't2'


def test_an_unreachable_target_is_avoided_and_keeps_its_estimate(bench):
    bench.mark_answered('t1', 'far')
    record = bench.record('t1')
    probability = record.estimate.failing_probability(bench.clock.monotonic_s())
    record.mark_unreachable(bench.clock.monotonic_s())
    assert (
        record.estimate.failing_probability(bench.clock.monotonic_s())
        == probability
    )
    assert bench.send() == 'far'


def test_an_unreachable_target_is_tried_at_growing_intervals(bench):
    record = bench.record('t1')
    pauses_s = []
    for _ in range(4):
        now_s = bench.clock.monotonic_s()
        record.mark_unreachable(now_s)
        pauses_s.append(record.avoided_until_s - now_s)
    assert pauses_s == [1.0, 2.0, 4.0, 4.0]
    record.mark_reachable()
    bench.mark_answered('t1')
    assert bench.send() == 't1'


async def test_a_wait_ends_when_a_slot_comes_free(bench):
    for name in ('t2', 't3', 'far'):
        bench.pool.targets.remove(ids.TargetId(name))
    bench.mark_answered('t1')
    record = bench.record('t1')
    bench.clock.advance(1.0)
    numbers = []
    for _ in range(3):
        bench.pool.try_acquire(bench.requirements())
        numbers.append(bench.pool.started(record))
    queued_request = admission.QueuedRequest(
        1, bench.clock.monotonic_s() + 5.0, accepts_any_target=True
    )
    waiting = asyncio.create_task(
        bench.pool.acquire(queued_request, bench.requirements())
    )
    await asyncio.sleep(0)
    assert not waiting.done()
    bench.pool.finished(record, numbers[0])
    assert (await waiting) is record


async def test_without_targets_a_request_is_refused_at_once(bench):
    bench.pool.set_targets([])
    queued_request = admission.QueuedRequest(1, bench.clock.monotonic_s() + 5.0)
    with pytest.raises(refusals.NoTargetError) as caught:
        await bench.pool.acquire(queued_request, bench.requirements())
    assert caught.value.retry_after_s > 0


def test_a_hedge_needs_a_typical_latency(bench):
    assert bench.pool.hedge_delay_s() is None
    bench.pool.answered(bench.record('t1'), 0.2)
    assert bench.pool.hedge_delay_s() == pytest.approx(0.5)
    for _ in range(150):
        bench.pool.answered(bench.record('t1'), 0.2)
    assert 0.2 <= bench.pool.hedge_delay_s() < 0.25


def test_final_attempts_do_not_explore_while_others_do(bench):
    """Guards against losing requests that run once on suspected targets.

    The load is 10 idempotent and 10 other requests a second for 3 targets,
    two of which were suspected.
    """
    for name in ('t2', 't3', 'far'):
        bench.record(name).estimate.failed(bench.clock.monotonic_s())
    explored = []
    for step in range(200):
        bench.clock.advance(0.05)
        is_final = step % 2 == 0
        record = bench.pool.try_acquire(
            bench.requirements(is_final_attempt=is_final)
        )
        explored.append((is_final, record.is_exploration))
        number = bench.pool.started(record)
        bench.pool.finished(record, number)
        if record.listed.target_id == 't1':
            bench.pool.answered(record, 0.02)
        else:
            bench.pool.failed(record, 0.0)
    assert (True, True) not in explored
    assert (False, True) in explored
