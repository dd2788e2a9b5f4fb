"""Requests that were shed or failed wait for retry budget, and run once."""

import asyncio
import collections
import time

import entry_support as support
import pytest
from sardinepier.entry import request_metrics

ONCE = '/once/1'
SAFE = '/books/1'


async def use_up(entry, behaviour, returns_in_s):
    """Start a target that is used first, with a budget that returns later."""
    await entry.set_targets(
        support.RawTarget('t1', [behaviour, 'ok']), support.RawTarget('t2')
    )
    pool = entry.shared.services.pool(support.SERVICE)
    now_s = entry.shared.clock.monotonic_s()
    pool.targets.find('t2').estimate.failed(now_s, is_early=False)
    budget = pool.retry_budget
    budget._fraction = 0.0
    while budget.try_spend():
        """Spend all of the budget."""
    spent_s = now_s - budget.window_s + returns_in_s
    budget._spent_s = collections.deque(spent_s for _ in budget._spent_s)
    return pool


@pytest.mark.parametrize(
    ('behaviour', 'path', 'runs'), [('shed', ONCE, 1), ('fail', SAFE, 2)]
)
async def test_a_request_without_budget_waits_for_it(
    entry, behaviour, path, runs
):
    """It was refused within a millisecond, 2 s before its deadline."""
    pool = await use_up(entry, behaviour, 0.4)
    began_s = time.monotonic()
    status, _, _ = await entry.send(path, 'POST')
    assert (status, entry.run_count) == (200, runs)
    assert time.monotonic() - began_s > 0.3
    assert len(pool.retries.queue) == 0


async def test_without_budget_in_time_a_refusal_names_when_there_is(entry):
    """Guards against a wait until the deadline, and a retry time of 0.2 s."""
    await use_up(entry, 'shed', 6.0)
    began_s = time.monotonic()
    status, headers, _ = await entry.send(ONCE, 'POST')
    assert (status, entry.run_count) == (503, 0)
    assert time.monotonic() - began_s < 1.0
    assert float(headers['Retry-After']) >= 5.5


async def test_a_failing_answer_is_delivered_if_there_is_no_budget(entry):
    await use_up(entry, 'fail', 6.0)
    status, _, body = await entry.send(SAFE)
    assert (status, body) == (500, b'broken')


async def test_a_request_whose_caller_left_while_it_waited_is_not_sent(entry):
    """A non-idempotent request goes on after it was sent, and was shed here."""
    pool = await use_up(entry, 'shed', 0.5)
    left = pool.retry_budget.available()
    _, writer = await asyncio.open_connection(support.LOOPBACK, entry.port)
    writer.write(support.request(ONCE, 'POST'))
    await support.wait_until(lambda: len(pool.retries.queue) == 1)
    writer.close()
    await support.wait_until(lambda: not len(pool.retries.queue))
    await asyncio.sleep(0.7)
    assert entry.run_count == 0
    assert pool.retry_budget.available() > left


async def test_a_retry_whose_caller_left_while_it_waited_for_a_slot_is_not_sent(
    entry,
):
    """Guards against payments that run for a caller that left before."""
    await entry.set_targets(
        support.RawTarget('t1', ['shed']), support.RawTarget('t2')
    )
    pool = entry.shared.services.pool(support.SERVICE)
    pool.targets.find('t2').full_until_s = float('inf')
    _, writer = await asyncio.open_connection(support.LOOPBACK, entry.port)
    writer.write(support.request(ONCE, 'POST'))
    await support.wait_until(lambda: pool.retry_budget.granted)
    writer.close()
    await asyncio.sleep(0.3)
    pool.targets.find('t2').full_until_s = 0.0
    await asyncio.sleep(0.3)
    assert entry.run_count == 0


async def test_budget_is_returned_if_no_target_can_be_sent_the_retry(entry):
    """Guards against attempts that are spent and never made."""
    await entry.set_targets(support.RawTarget('t1', ['shed']))
    budget = entry.shared.services.pool(support.SERVICE).retry_budget
    assert (await entry.send(ONCE, 'POST'))[0] == 503
    assert budget.granted == 0


async def test_an_attempt_counts_from_when_it_is_sent(entry):
    """Its budget returned less than a window after a retry that had waited."""
    await entry.set_targets(
        support.RawTarget('t1', ['shed']), support.RawTarget('t2')
    )
    pool = entry.shared.services.pool(support.SERVICE)
    pool.targets.find('t2').full_until_s = float('inf')
    retried = asyncio.ensure_future(entry.send(ONCE, 'POST'))
    await support.wait_until(lambda: pool.retry_budget.granted)
    await asyncio.sleep(0.3)
    free_s = entry.shared.clock.monotonic_s()
    pool.targets.find('t2').full_until_s = 0.0
    assert (await retried)[0] == 200
    assert pool.retry_budget._spent_s[-1] >= free_s


async def test_a_request_is_shed_by_more_than_four_targets(entry):
    """With 55 % of all requests shed, one in 11 is shed by four in a row."""
    shedding = [
        support.RawTarget(f't{number}', ['shed']) for number in range(6)
    ]
    good = support.RawTarget('good')
    await entry.set_targets(*shedding, good)
    pool = entry.shared.services.pool(support.SERVICE)
    now_s = entry.shared.clock.monotonic_s()
    pool.targets.find('good').estimate.failed(now_s, is_early=False)
    status, _, _ = await entry.send(ONCE, 'POST')
    assert (status, entry.run_count, good.run_count) == (200, 1, 1)


async def test_sheds_and_waits_are_counted(entry):
    await use_up(entry, 'shed', 0.3)
    await entry.send(ONCE, 'POST')
    text = await entry.shared.metrics.text(
        request_metrics.service_gauges(entry.shared.services)
    )
    assert 'sheds_total{cause="unknown",service="books"} 1' in text
    assert 'retry_waits_total{service="books"} 1' in text
    assert 'accepted_share{service="books"} ' in text


async def test_a_target_that_shed_with_free_slots_is_avoided_for_a_moment(
    entry,
):
    """It was preferred again after 0.1 s, and shed the next request, too."""
    shedding = support.RawTarget(
        't1',
        [
            support.with_headers(
                f'{support.NAMES.not_run}: 1',
                f'{support.NAMES.load}: 0,0,6',
                status='503 Full',
            )
        ],
    )
    await entry.set_targets(shedding, support.RawTarget('t2'))
    pool = entry.shared.services.pool(support.SERVICE)
    record = pool.targets.find('t1')
    record.estimate.answered(entry.shared.clock.monotonic_s())
    await entry.send(ONCE, 'POST')
    await asyncio.sleep(0.15)
    for _ in range(3):
        await entry.send(ONCE, 'POST')
    assert len(shedding.received) == 1
