"""The share of sound targets in use by requests that may run only once.

Guards against too many idle targets: three of eight sound targets had no
request for two seconds, when a power failure failed a sixth of the requests. A
target counts as sound two seconds after its last failure. Requests whose
failure is final avoided a failed target for 7.7 s, until its failure
probability had decayed. On average a sixth of the sound targets were idle,
three of eight by chance. Here it happens without a power failure, with the
measured failures of targets: three tenths of them fail at any time, for ten
seconds each, and then fail four fifths of their requests.
"""

import dataclasses
import heapq
import random

import entry_support as support
import pytest
from sardinepier.core import clock as clocks
from sardinepier.entry import (
    attempt_requirements,
    idle_threshold,
    service_registry,
    target_cost,
)
from sardinepier.health import failure_estimate

MIN_USED_SHARE = 0.7
"""Required share of the sound targets that get requests."""

WINDOW_S = 2.0
"""Time within which they get one, and after which a failed target is sound."""

TARGETS = 14
REQUESTS_PER_S = 55.0
PROCESSING_S = 0.24
FAILING_S = 10.0
SOUND_S = 23.0
FAILURE_SHARE = 0.8
FAILS_AFTER_S = 0.003


@dataclasses.dataclass
class TargetBehaviour:
    """When one target fails, and its newest request and failure."""

    fails_from_s: float
    sound_from_s: float
    requested_s: float = -WINDOW_S
    failed_s: float = -WINDOW_S


class Service:
    """A pool of targets that fail by themselves, in virtual time."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.clock = clocks.ManualClock(100.0)
        self.pool = support.service_pool_of(self.clock, seed)
        names = [f't{number}' for number in range(TARGETS)]
        self.pool.targets.set([support.listed(name) for name in names])
        self.behaviours = {name: self._behaviour(100.0) for name in names}
        self.ends = []
        self.requests = 0
        self.failed = 0

    def step(self, seconds):
        """Advance the time, end the requests that are due, and send one."""
        self.clock.advance(seconds)
        now_s = self.clock.monotonic_s()
        while self.ends and self.ends[0][0] <= now_s:
            self._end(*heapq.heappop(self.ends))
        record = self.pool.try_acquire(
            attempt_requirements.AttemptRequirements(
                (), 0, now_s, now_s + 0.3, is_final_attempt=True
            ),
        )
        self.requests += 1
        if record is None:
            self.failed += 1
            return
        name = record.listed.target_id
        behaviour = self.behaviours[name]
        behaviour.requested_s = now_s
        number = self.pool.started(record)
        fails = self._fails(behaviour, now_s)
        processing_s = FAILS_AFTER_S if fails else PROCESSING_S
        heapq.heappush(
            self.ends,
            (now_s + processing_s, number, name, now_s, fails),
        )

    def used_share(self):
        """Return the share of the sound targets that got a request."""
        since_s = self.clock.monotonic_s() - WINDOW_S
        sound = [
            behaviour
            for behaviour in self.behaviours.values()
            if behaviour.failed_s <= since_s
        ]
        return sum(
            behaviour.requested_s > since_s for behaviour in sound
        ) / len(sound)

    def _behaviour(self, now_s):
        fails_from_s = now_s + self.random.expovariate(1 / SOUND_S)
        lasts_s = self.random.expovariate(1 / FAILING_S)
        return TargetBehaviour(fails_from_s, fails_from_s + lasts_s)

    def _fails(self, behaviour, now_s):
        while now_s >= behaviour.sound_from_s:
            next_behaviour = self._behaviour(behaviour.sound_from_s)
            behaviour.fails_from_s = next_behaviour.fails_from_s
            behaviour.sound_from_s = next_behaviour.sound_from_s
        return (
            now_s >= behaviour.fails_from_s
            and self.random.random() < FAILURE_SHARE
        )

    def _end(self, ended_s, number, name, began_s, fails):
        record = self.pool.targets.find(name)
        self.pool.finished(record, number)
        if fails:
            self.failed += 1
            self.behaviours[name].failed_s = ended_s
            self.pool.failed(record, ended_s - began_s)
        else:
            self.pool.answered(record, ended_s - began_s)


def min_used_share(seed, seconds=60):
    """Return the minimum share in use within any two seconds."""
    service = Service(seed)
    shares = []
    for number in range(int(seconds * REQUESTS_PER_S)):
        service.step(1 / REQUESTS_PER_S)
        if number > WINDOW_S * REQUESTS_PER_S:
            shares.append(service.used_share())
    return min(shares)


def test_enough_sound_targets_are_in_use_at_any_time():
    assert min(min_used_share(seed) for seed in range(8)) >= MIN_USED_SHARE


def pool_of(clock, *names):
    pool = support.service_pool_of(clock, 1)
    pool.typical_latency_s = PROCESSING_S
    pool.targets.set([support.listed(name) for name in names])
    return pool


def send_final(pool, clock):
    """Return the target of a request whose failure would be final."""
    now_s = clock.monotonic_s()
    requirements = attempt_requirements.AttemptRequirements(
        (), 0, now_s, now_s + 0.3, is_final_attempt=True
    )
    record = pool.try_acquire(requirements)
    pool.finished(record, pool.started(record))
    return record


def serve_and_refuse(pool, clock, refused):
    """Let ``t2`` fail, then serve ten requests and refuse some more."""
    pool.failed(pool.targets.find('t2'), 0)
    clock.advance(1.8)
    for number in range(10):
        if number < refused:
            pool.refused()
        pool.answered(pool.targets.find('t1'), PROCESSING_S)


def test_while_requests_are_refused_any_target_is_explored():
    """A refused request counts as a failed one."""
    for refused, expected in ((0, 't1'), (2, 't2')):
        clock = clocks.ManualClock(100.0)
        pool = pool_of(clock, *(f't{number}' for number in range(1, 11)))
        for record in pool.targets.records():
            record.estimate.answered(clock.monotonic_s() + 1.8)
        serve_and_refuse(pool, clock, refused)
        assert send_final(pool, clock).listed.target_id == expected


async def test_a_caller_that_is_refused_counts(entry):
    await entry.set_targets(support.RawTarget('t1', ['shed']))
    for number in range(6):
        status, _, _ = await entry.send(f'/once/{number}')
        assert status == 503
    pool = entry.shared.services.pool(support.SERVICE)
    assert pool._explorer.recent.exceeds_limit()


def test_the_installation_s_share_reaches_each_service():
    services = service_registry.ServiceRegistry(
        support.ZONE,
        clocks.ManualClock(100.0),
        random.Random(1),
        20.0,
        failure_estimate.EstimateOptions(),
        0.5,
    )
    threshold = services.pool(support.SERVICE)._explorer._threshold
    assert threshold._idle_share == pytest.approx(0.4)


def test_an_unreachable_target_is_not_explored():
    """A connection attempt that times out takes a third of a second."""
    clock = clocks.ManualClock(100.0)
    pool = pool_of(clock, 't1', 't2')
    serve_and_refuse(pool, clock, 5)
    pool.targets.find('t2').mark_unreachable(clock.monotonic_s())
    assert send_final(pool, clock).listed.target_id == 't1'
    clock.advance(1.1)
    pool.answered(pool.targets.find('t1'), PROCESSING_S)
    assert send_final(pool, clock).listed.target_id == 't2'


def test_unreachable_targets_are_neither_sound_nor_suspected():
    """They are not in the number from which the idle share is computed."""
    clock = clocks.ManualClock(100.0)
    pool = pool_of(clock, *(f't{number}' for number in range(10)))
    now_s = clock.monotonic_s() + 3.0
    for record in pool.targets.records():
        record.estimate.answered(now_s - 2)
    pool.targets.find('t0').estimate.adopt(0.9, now_s - 2)
    context = target_cost.SelectionContext(
        support.ZONE, now_s, PROCESSING_S, 0.0
    )
    for unreachable, may_be_idle in ((0, True), (4, True), (6, False)):
        for number in range(unreachable):
            pool.targets.find(f't{number + 1}').mark_unreachable(now_s)
        threshold = idle_threshold.IdleThreshold(MIN_USED_SHARE)
        limit = threshold.probability(pool.targets.records(), context)
        probability = pool.targets.find('t0').failure_probability(
            now_s, PROCESSING_S
        )
        assert (probability >= limit) == may_be_idle


def test_a_failed_exploration_causes_no_further_ones():
    """Else explorations would keep up the failures that cause them."""
    clock = clocks.ManualClock(100.0)
    pool = pool_of(clock, 't1', 't2')
    serve_and_refuse(pool, clock, 0)
    for _ in range(5):
        clock.advance(1.8)
        pool.answered(pool.targets.find('t1'), PROCESSING_S)
        pool.answered(pool.targets.find('t1'), PROCESSING_S)
        record = send_final(pool, clock)
        assert record.listed.target_id == 't2'
        pool.failed(record, 0)
    assert not pool._explorer.recent.exceeds_limit()


def test_as_many_may_be_idle_as_the_installation_allows():
    clock = clocks.ManualClock(100.0)
    names = [f't{number}' for number in range(10)]
    for min_used_share, idle in ((0.7, 2), (0.5, 4), (0.95, 0)):
        pool = pool_of(clock, *names)
        for name in names[:5]:
            pool.targets.find(name).estimate.failed(clock.monotonic_s())
        now_s = clock.monotonic_s() + 3.0
        context = target_cost.SelectionContext(
            support.ZONE, now_s, PROCESSING_S, 0.0
        )
        threshold = idle_threshold.IdleThreshold(min_used_share)
        for place, name in enumerate(names):
            # Each has another failure probability.
            if place < 5:
                pool.targets.find(name).estimate.adopt(
                    0.9 - place / 10, now_s - 2
                )
            else:
                pool.targets.find(name).estimate.answered(now_s)
        limit = threshold.probability(pool.targets.records(), context)
        left_out = [
            record
            for record in pool.targets.records()
            if record.failure_probability(now_s, PROCESSING_S) >= limit
        ]
        assert len(left_out) == idle


UNDISTURBED_S = 6.0
"""After this time without a disturbance, a target counts for the required share."""


def test_targets_that_have_just_joined_leave_no_more_others_idle():
    """Guards against three of seven sound targets that were idle among fifty.

    Most targets had just been replaced, cut off or reset. They don't count for
    the required share, but for the number of those that may be left idle.
    """
    clock = clocks.ManualClock(100.0)
    old = [f'old-{number}' for number in range(10)]
    pool = pool_of(clock, *old)
    clock.advance(UNDISTURBED_S + 2)
    for failing in old[:4]:
        pool.failed(pool.targets.find(failing), 0)
    clock.advance(WINDOW_S)
    new = [f'new-{number}' for number in range(30)]
    pool.targets.set([support.listed(name) for name in (*old, *new)])
    requested_s = {}
    for _ in range(int(2 * WINDOW_S * REQUESTS_PER_S)):
        clock.advance(1 / REQUESTS_PER_S)
        record = send_final(pool, clock)
        pool.answered(record, PROCESSING_S)
        requested_s[record.listed.target_id] = clock.monotonic_s()
    since_s = clock.monotonic_s() - WINDOW_S
    used = [target for target in old if requested_s.get(target, 0) > since_s]
    assert len(used) / len(old) >= MIN_USED_SHARE
