"""Requests beyond a customer's limit wait by priority, across daemons.

Each daemon has its own queues. The daemons report usage and waiting requests to
each other five times per second.
"""

import asyncio
import dataclasses
import itertools
import random

import pytest

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.routing import (
    customer_demand,
    customer_queues,
    errors,
    fleet_bucket,
    fleet_limits,
    wait_queue,
)

HOT = ids.CustomerName('hot')
CALM = ids.CustomerName('calm')
OTHER = ids.InstanceId('other')
LEEWAY = fleet_limits.DEFAULT_LEEWAY
LIMIT = fleet_bucket.Limit(20.0, 20.0)
STEP_S = 0.02
TIMEOUT_S = 5.0
"""Far longer than any step takes; a request that waits so long was not refused."""

REPORT_STEPS = 10
URGENT, USUAL, LOW = range(3)
LOOK_UP_SHARES = {URGENT: 0.18, USUAL: 0.27, LOW: 0.55}
"""Shares of payments, look-ups and holds of a customer of deployment K."""


@dataclasses.dataclass
class Daemon:
    name: ids.InstanceId
    limits: fleet_limits.FleetLimits
    queues: customer_queues.CustomerQueues
    is_disconnected: bool = False


def start(clock, name='own', customer_limits=None, seed=1):
    limits = fleet_limits.FleetLimits(clock, LEEWAY)
    limits.set(customer_limits or {HOT: LIMIT})
    queues = customer_queues.CustomerQueues(clock, random.Random(seed), limits)
    return Daemon(ids.InstanceId(name), limits, queues)


class Fleet:
    """Daemons in steps of a manual clock, with tasks that wait for tokens."""

    def __init__(self, count, seed=1, customer_limits=None):
        self.clock = clocks.ManualClock(100.0)
        self.random = random.Random(seed)
        self.daemons = [
            start(self.clock, f'd{number}', customer_limits, seed + number)
            for number in range(count)
        ]
        self.steps = 0
        self.tasks = set()
        self.fingerprints = itertools.count(1)
        self.admitted_s = {}
        self.sent = {}
        self.refused_after_s = []

    async def run(self, seconds, per_s, customer=HOT):
        for _ in range(round(seconds / STEP_S)):
            for _ in range(int(per_s * STEP_S + self.random.random())):
                self._send(customer)
            await self._step()

    async def finish(self):
        while self.tasks:
            await self._step()

    def share(self, key):
        return len(self.admitted_s.get(key, ())) / self.sent[key]

    def max_in_a_window(self, customer):
        times_s = sorted(
            time_s
            for (name, _), admitted_s in self.admitted_s.items()
            for time_s in admitted_s
            if name == customer
        )
        return max(
            sum(
                first <= time_s <= first + LEEWAY.window_s for time_s in times_s
            )
            for first in times_s
        )

    def _send(self, customer):
        priority = self.random.choices(
            list(LOOK_UP_SHARES), LOOK_UP_SHARES.values()
        )[0]
        daemon = self.random.choice(self.daemons)
        self.sent[customer, priority] = (
            self.sent.get((customer, priority), 0) + 1
        )
        task = asyncio.ensure_future(self._admit(daemon, customer, priority))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _admit(self, daemon, customer, priority):
        now_s = self.clock.monotonic_s()
        request = wait_queue.QueuedRequest(
            priority,
            now_s + 1.8,
            accepts_any_target=True,
            preferred_start_by_s=now_s + 0.3,
            fingerprint=next(self.fingerprints),
        )
        try:
            await daemon.queues.admit(customer, request)
        except errors.CustomerLimitError:
            self.refused_after_s.append(self.clock.monotonic_s() - now_s)
            return
        admitted_s = self.admitted_s.setdefault((customer, priority), [])
        admitted_s.append(self.clock.monotonic_s())

    async def _step(self):
        await asyncio.sleep(0)
        self.steps += 1
        if self.steps % REPORT_STEPS == 0:
            self._report()
        for daemon in self.daemons:
            daemon.queues.limits_changed()
        await asyncio.sleep(0)
        self.clock.advance(STEP_S)

    def _report(self):
        reports = []
        for daemon in self.daemons:
            demands = daemon.queues.demands()
            usage = daemon.limits.take_updates(also=demands)
            reports.append((daemon, usage, demands))
        for sender, usage, demands in reports:
            for receiver in self.daemons:
                if receiver is sender or (
                    sender.is_disconnected or receiver.is_disconnected
                ):
                    continue
                receiver.limits.receive_usage(
                    sender.name, ids.ZoneName(sender.name), usage
                )
                receiver.queues.receive_demands(sender.name, demands)


def request(clock, priority=USUAL, *, start_in_s=60.0, **fields):
    return wait_queue.QueuedRequest(
        priority,
        clock.monotonic_s() + start_in_s,
        accepts_any_target=True,
        **fields,
    )


class Single:
    """One daemon whose customer has used up its limit."""

    def __init__(self, limit=LIMIT):
        self.clock = clocks.ManualClock(100.0)
        self.daemon = start(self.clock, customer_limits={HOT: limit})
        self.queues = self.daemon.queues
        self.order = []
        for _ in range(round(limit.burst)):
            self.daemon.limits.take(HOT)

    async def wait(self, name, priority=USUAL, **fields):
        """Start to wait for a token; ``order`` gets the name with the token."""
        waiting = request(self.clock, priority, **fields)

        async def admit():
            await self.queues.admit(HOT, waiting)
            self.order.append(name)

        task = asyncio.ensure_future(admit())
        await asyncio.sleep(0)
        return task

    async def refusal(self, number, start_in_s=0.01):
        """Return after how many seconds the refused request is to return."""
        refused = request(self.clock, start_in_s=start_in_s, fingerprint=number)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await self.queues.admit(HOT, refused)
        except errors.CustomerLimitError as error:
            return error.retry_after_s
        return pytest.fail('The request was admitted')

    async def advance(self, seconds):
        self.clock.advance(seconds)
        self.queues.limits_changed()
        await asyncio.sleep(0)
        await asyncio.sleep(0)


@pytest.mark.parametrize('seed', range(2))
@pytest.mark.parametrize('count', [1, 3])
async def test_at_3_5_times_the_limit_the_most_urgent_are_served(count, seed):
    """Guards against admission in the order of arrival, and unused tokens."""
    fleet = Fleet(count, seed)
    await fleet.run(3.0, 10)
    fleet.sent.clear()
    fleet.admitted_s.clear()
    began_s = fleet.clock.monotonic_s()
    await fleet.run(15.0, 70)
    await fleet.finish()
    assert fleet.share((HOT, URGENT)) >= 0.98
    assert fleet.share((HOT, LOW)) <= 0.1
    admitted = sum(map(len, fleet.admitted_s.values()))
    elapsed_s = fleet.clock.monotonic_s() - began_s
    assert admitted >= 0.9 * LIMIT.rate_per_s * elapsed_s
    bound = (LIMIT.rate_per_s * 5 + LIMIT.burst) * 1.25 + 20
    assert fleet.max_in_a_window(HOT) <= bound


async def test_at_3_5_times_the_limit_a_partition_keeps_the_bound():
    """Guards against waiting requests that take more than a daemon's part."""
    fleet = Fleet(3)
    for _ in range(3):
        await fleet.run(4.0, 70)
        fleet.daemons[0].is_disconnected ^= True
    await fleet.finish()
    bound = (LIMIT.rate_per_s * 5 + LIMIT.burst) * 1.25 + 20
    assert fleet.max_in_a_window(HOT) <= bound


async def test_next_to_seven_times_the_usual_rate_a_calm_customer_loses_none():
    """Guards against one customer's queue that delays or refuses another."""
    limits = {HOT: LIMIT, CALM: LIMIT}
    fleet = Fleet(3, customer_limits=limits)
    await asyncio.gather(
        fleet.run(8.0, 70, HOT),
        fleet.run(8.0, 10, CALM),
    )
    await fleet.finish()
    sent = sum(sent for (name, _), sent in fleet.sent.items() if name == CALM)
    admitted = sum(
        len(times_s)
        for (name, _), times_s in fleet.admitted_s.items()
        if name == CALM
    )
    assert admitted > 0.99 * sent


async def test_order_is_priority_then_in_time_then_returned():
    """Guards against late requests that take tokens from those in time."""
    single = Single()
    start_by_s = single.clock.monotonic_s()
    await single.wait('low', LOW)
    await single.wait('late', preferred_start_by_s=start_by_s)
    await single.wait('usual')
    await single.wait('urgent', URGENT, preferred_start_by_s=start_by_s)
    for _ in range(4):
        await single.advance(1.0 / LIMIT.rate_per_s)
    assert single.order[:1] == ['urgent']
    await single.advance(1.0)
    assert single.order == ['urgent', 'usual', 'late', 'low']


async def test_a_request_without_a_token_in_time_is_refused_at_once():
    """Guards against requests that wait until their deadline for nothing."""
    single = Single()
    for number in range(10):
        await single.wait(number, start_in_s=0.55)
    await single.wait('in time', start_in_s=0.56)
    assert await single.refusal(1, start_in_s=0.57)
    for _ in range(11):
        await single.advance(0.05)
    assert 'in time' in single.order


async def test_a_refused_request_returns_in_order_before_new_ones():
    """Guards against a ``Retry-After`` at which callers are refused again."""
    single = Single()
    retry_after_s = [await single.refusal(number) for number in range(1, 6)]
    assert retry_after_s == sorted(retry_after_s)
    assert retry_after_s[0] == pytest.approx(1 / LIMIT.rate_per_s)
    assert retry_after_s[-1] > 4 * 0.7 / LIMIT.rate_per_s
    single.clock.advance(retry_after_s[0])
    assert not await single.queues.admit(
        HOT, request(single.clock, start_in_s=0.01, fingerprint=1)
    )
    await single.wait('new', start_in_s=30.0)
    single.clock.advance(retry_after_s[1] - retry_after_s[0] - 0.04)
    await single.wait('returned', fingerprint=2)
    await single.advance(0.04)
    assert single.order == ['returned']


@pytest.mark.parametrize('has_token', [False, True])
async def test_a_cancelled_wait_leaves_the_queue_and_takes_no_token(has_token):
    """Guards against tokens granted to callers that have disconnected.

    With ``has_token`` the wait ends after the token was granted and before its
    task runs.
    """
    single = Single()
    spent = single.daemon.limits.take_updates()[HOT].spent
    leaving = await single.wait('leaving')
    await single.wait('staying')
    if has_token:
        single.clock.advance(1 / LIMIT.rate_per_s)
        single.queues.limits_changed()
    leaving.cancel()
    await single.advance(0)
    assert len(single.queues) == 1 - has_token
    await single.advance(1.0)
    assert single.order == ['staying']
    usage = single.daemon.limits.take_updates(also=[HOT])
    assert usage[HOT].spent == spent + 1


async def test_a_refunded_token_goes_to_a_request_that_waits():
    """Guards against tokens that stay unused until the next check."""
    single = Single(fleet_bucket.Limit(0.1, 1.0))
    await single.wait('waiting')
    single.queues.refund(HOT)
    await asyncio.sleep(0)
    assert single.order == ['waiting']


async def test_a_removed_limit_admits_and_a_lowered_one_refuses():
    """Guards against requests that wait for tokens of a limit that is gone."""
    single = Single(fleet_bucket.Limit(1.0, 1.0))
    waiting = await single.wait('waiting', start_in_s=7.5)
    await single.wait('longer', start_in_s=60.0)
    for _ in range(6):
        await single.wait('ahead', start_in_s=7.2)
    single.daemon.limits.set({HOT: fleet_bucket.Limit(0.1, 1.0)})
    assert not waiting.done()
    single.clock.advance(LEEWAY.lower_after_s + 0.1)
    single.daemon.limits.set({HOT: fleet_bucket.Limit(0.1, 1.0)})
    await single.advance(0)
    assert isinstance(waiting.exception(), errors.CustomerLimitError)
    single.daemon.limits.set({})
    await single.advance(0)
    assert 'longer' in single.order
    assert not single.queues._queues


def test_tokens_are_left_for_urgent_requests_that_wait_elsewhere():
    """Guards against low requests here before urgent ones elsewhere.

    A daemon that falls silent must not keep tokens unused.
    """
    clock = clocks.ManualClock(100.0)
    daemon = start(clock, customer_limits={HOT: fleet_bucket.Limit(1, 3)})
    demand = customer_demand.Demand(URGENT, 2, 0.0)
    daemon.queues.receive_demands(OTHER, {HOT: (demand,)})
    assert [daemon.queues.tokens_to_leave(HOT, LOW)] == [2]
    assert not daemon.queues.tokens_to_leave(HOT, URGENT)
    clock.advance(0.41)
    assert not daemon.queues.tokens_to_leave(HOT, LOW)


async def test_a_queue_exists_only_while_requests_wait():
    """Guards against memory for each of 150,000 customers."""
    single = Single()
    await single.wait('waiting')
    assert HOT in single.queues.demands()
    await single.advance(1.0)
    assert single.order == ['waiting']
    single.clock.advance(2.1)
    assert not single.queues.demands()
    assert not single.queues._queues


async def test_at_the_bound_of_all_waits_a_customer_below_its_limit_is_served(
    monkeypatch,
):
    """Guards against waits of others that keep out a customer with tokens.

    The calm customer had to wait shortly before, so that it has a queue.
    """
    monkeypatch.setattr(customer_queues, '_MAX_WAITING', 2)
    single = Single()
    single.daemon.limits.set({HOT: LIMIT, CALM: LIMIT})
    while not single.daemon.limits.take(CALM):
        assert not single.order
    with pytest.raises(errors.CustomerLimitError):
        await single.queues.admit(CALM, request(single.clock, start_in_s=0.01))
    single.clock.advance(0.5)
    waits = [await single.wait(number) for number in range(12)]
    assert len(single.queues) == 2
    assert not await single.queues.admit(CALM, request(single.clock))
    for wait in waits:
        wait.cancel()


async def test_at_the_bound_of_all_waits_an_urgent_request_displaces_a_low_one(
    monkeypatch,
):
    """Guards against urgent requests refused while low ones wait."""
    monkeypatch.setattr(customer_queues, '_MAX_WAITING', 2)
    single = Single()
    await single.wait('usual', USUAL)
    low = await single.wait('low', LOW)
    await single.wait('urgent', URGENT)
    await single.advance(0)
    assert isinstance(low.exception(), errors.CustomerLimitError)
    assert len(single.queues) == 2
    await single.advance(1.0)
    assert single.order == ['urgent', 'usual']


def test_reports_of_1000_daemons_that_died_are_dropped():
    """Guards against memory that grows with each daemon that was replaced."""
    demands = customer_demand.PeerDemands()
    demand = customer_demand.Demand(URGENT, 2, 0.0)
    for number in range(1000):
        source = ids.InstanceId(f'{number}')
        demands.receive(source, {HOT: (demand,)}, float(number))
    assert len(demands._reported) == 1
    assert len(demands._reports[HOT]) == 1


async def test_100_waiting_requests_have_one_timer(monkeypatch):
    """Guards against processor time that grows with the waiting requests."""
    loop = asyncio.get_running_loop()
    timers = []
    original_call_at = loop.call_at

    def call_at(when, *args, **options):
        timers.append(original_call_at(when, *args, **options))
        return timers[-1]

    monkeypatch.setattr(loop, 'call_at', call_at)
    single = Single()
    waits = [await single.wait(number) for number in range(100)]
    pending = [
        timer
        for timer in timers
        if timer.when() > loop.time() and not timer.cancelled()
    ]
    assert len(pending) == 1
    for wait in waits:
        wait.cancel()
