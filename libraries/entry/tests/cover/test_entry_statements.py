"""Statements of targets in their answers, and what callers get then."""

import asyncio

import entry_support as support
import pytest
from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.entry import request_metrics, target_record
from sardinepier.gateway import statements, target_statements

ONCE = '/once/1'
LIMIT = support.NAMES.limit
LEAVING = support.with_headers(f'{support.NAMES.leaving}: 1')


def limit_of(per_s):
    return support.with_headers(f'{LIMIT}: {per_s}')


def record_of(entry, name):
    pool = entry.shared.services.pool(support.SERVICE)
    return pool.targets.find(ids.TargetId(name))


async def test_a_target_at_its_limit_is_skipped(entry):
    """Guards against a choice of targets that ignores the limit."""
    limited, unlimited = (
        support.RawTarget('t1', [limit_of(0.2)]),
        support.RawTarget('t2'),
    )
    await entry.set_targets(limited, unlimited)
    for _ in range(20):
        assert (await entry.send(ONCE))[0] == 200
    assert limited.run_count <= 2


async def test_when_all_are_at_their_limits_a_caller_gets_a_retry_after(
    entry,
):
    """Guards against requests that wait although none is allowed in time."""
    await entry.set_targets(support.RawTarget('t1', [limit_of(0.2)]))
    assert (await entry.send(ONCE))[0] == 200
    began_s = asyncio.get_running_loop().time()
    status, headers, _ = await entry.send(ONCE)
    taken_s = asyncio.get_running_loop().time() - began_s
    assert status == 503
    assert 4 < float(headers['Retry-After']) <= 8
    assert taken_s < 1
    assert entry.run_count == 1


async def test_a_limit_ends_when_an_answer_names_none(entry):
    target = support.RawTarget('t1', [limit_of(50), 'ok'])
    await entry.set_targets(target)
    for _ in range(12):
        assert (await entry.send(ONCE))[0] == 200
    record = record_of(entry, 't1')
    assert record.statements.newest == statements.EMPTY


BAD_LIMITS = (
    f'{LIMIT}: 0',
    f'{LIMIT}: -1',
    f'{LIMIT}: nan',
    f'{LIMIT}: many',
    f'{LIMIT}: 5\r\n{LIMIT}: 1',
)


@pytest.mark.parametrize('line', BAD_LIMITS)
async def test_an_invalid_limit_is_ignored(entry, line):
    bad = support.RawTarget('t1', [support.with_headers(line)])
    await entry.set_targets(bad, support.RawTarget('t2'))
    for _ in range(10):
        assert (await entry.send(ONCE))[0] == 200


def sent(received, clock, seconds, step_s=0.01):
    """Send whenever the statements allow it; return the number of requests."""
    count = 0
    for _ in range(round(seconds / step_s)):
        now_s = clock.monotonic_s()
        if received.accepts_from_s(now_s) <= now_s:
            received.take(now_s)
            count += 1
        clock.advance(step_s)
    return count


@pytest.mark.parametrize('part', [1.0, 0.25])
@pytest.mark.parametrize('limit_per_s', [0.5, 1.0, 2.8, 40.0])
def test_nearly_all_of_a_part_is_used_and_no_more(limit_per_s, part):
    clock = clocks.ManualClock(100.0)
    received = target_statements.TargetStatements()
    received.limit_share = part
    statement = statements.Statement(limit_per_s=limit_per_s)
    received.apply(statement, clock.monotonic_s())
    whole = limit_per_s * part * 60
    assert 0.9 * whole - 1 <= sent(received, clock, 60) <= whole + 1


def test_an_idle_time_allows_one_extra_request_at_most():
    clock = clocks.ManualClock(100.0)
    received = target_statements.TargetStatements()
    received.apply(statements.Statement(limit_per_s=1.0), clock.monotonic_s())
    clock.advance(20)
    assert sent(received, clock, 0.5) == 2


def test_a_request_that_was_not_sent_is_refunded():
    clock = clocks.ManualClock(100.0)
    received = target_statements.TargetStatements()
    received.apply(statements.Statement(limit_per_s=1.0), clock.monotonic_s())
    clock.advance(1)
    received.take(clock.monotonic_s())
    received.refund()
    assert received.accepts_from_s(clock.monotonic_s()) <= clock.monotonic_s()


def test_an_older_statement_is_ignored():
    received = target_statements.TargetStatements()
    assert received.apply(statements.Statement(limit_per_s=1.0), 100.0)
    assert not received.apply(statements.EMPTY, 99.0)
    assert received.newest.limit_per_s == 1.0


LEAVING_ANSWERS = (
    LEAVING,
    support.with_headers(f'{support.NAMES.leaving}: 1', status='500 Bad'),
    support.with_headers(
        f'{support.NAMES.leaving}: 1',
        f'{support.NAMES.not_run}: 1',
        status='503 Full',
    ),
    # A truncated answer, and one without the signature of a target.
    lambda echo: LEAVING(echo)[:-4],
    lambda echo: support.answer(
        echo,
        signed=False,
        extra=f'{support.NAMES.leaving}: 1',
    ),
)


@pytest.mark.parametrize('answer', LEAVING_ANSWERS)
async def test_whatever_the_answer_a_leaving_target_gets_nothing_more(
    entry,
    answer,
):
    """Guards against a statement that is applied from good answers only."""
    leaving = support.RawTarget('t1', [answer])
    staying = support.RawTarget('t2')
    await entry.set_targets(leaving, staying)
    record_of(entry, 't2').estimate.failed(
        entry.shared.clock.monotonic_s(),
        is_early=False,
    )
    for _ in range(10):
        await entry.send()
    assert len(leaving.received) == 1
    # A newer list that still contains the target does not bring it back.
    await entry.set_targets(leaving, staying, support.RawTarget('t3'))
    assert record_of(entry, 't3') is not None
    assert record_of(entry, 't1') is None


async def test_another_incarnation_of_a_target_that_left_is_used(entry):
    target = support.RawTarget('t1', [LEAVING, 'ok'])
    await entry.set_targets(target)
    await entry.send()
    assert (await entry.send())[0] == 503
    target.name = 't1-again'
    await entry.set_targets(target)
    assert (await entry.send())[0] == 200


async def test_the_statement_of_another_target_at_the_address_is_ignored(entry):
    moved = support.with_headers(
        f'{support.NAMES.leaving}: 1',
        status='421 Misdirected Request',
    )
    await entry.set_targets(support.RawTarget('t1', [moved, 'ok']))
    await entry.send()
    await entry.set_targets(*entry.targets, support.RawTarget('t2'))
    assert record_of(entry, 't1') is not None


async def test_the_statement_of_a_late_answer_to_another_request_is_ignored(
    entry,
):
    """Guards against a statement from the answer to another request."""

    def late_extra(echo):
        extra = f'{support.NAMES.leaving}: 1'
        return b''.join(
            (support.answer('another', extra=extra), support.answer(echo))
        )

    await entry.set_targets(support.RawTarget('t1', [late_extra, 'ok']))
    for _ in range(3):
        assert (await entry.send())[0] == 200


async def test_leaving_0_is_no_leaving(entry):
    staying = support.with_headers(f'{support.NAMES.leaving}: 0')
    await entry.set_targets(support.RawTarget('t1', [staying]))
    for _ in range(3):
        assert (await entry.send())[0] == 200


class HalfAnswering(support.RawTarget):
    """Sends the end of its answer only after the gate is set."""

    async def _answer(self, behaviour, headers, reader, writer):
        whole = LEAVING(headers[support.NAMES.attempt_id])
        writer.write(whole[:-4])
        await self.gate.wait()
        writer.write(whole[-4:])
        return True


async def test_the_head_of_a_long_answer_is_applied_before_its_end(entry):
    """Guards against a statement that is applied at the end of the answer."""
    target = HalfAnswering('t1')
    await entry.set_targets(target)
    request = asyncio.create_task(entry.send())
    await support.wait_until(lambda: record_of(entry, 't1') is None)
    target.gate.set()
    assert (await request)[0] == 200


def backoff(seconds, status='503 Full'):
    return support.with_headers(
        f'Retry-After: {seconds}',
        f'{support.NAMES.not_run}: 1',
        status=status,
    )


async def test_a_target_gets_nothing_during_its_backoff(entry):
    """Guards against a constant pause that ignores the target's Retry-After."""
    backing_off, available = (
        support.RawTarget('t1', [backoff(1), 'ok']),
        support.RawTarget('t2'),
    )
    await entry.set_targets(backing_off, available)
    loop = asyncio.get_running_loop()
    while not backing_off.received:
        assert (await entry.send(ONCE))[0] == 200
    began_s = loop.time()
    while loop.time() < began_s + 0.9:
        assert (await entry.send(ONCE))[0] == 200
    assert len(backing_off.received) == 1
    await asyncio.sleep(0.2)
    available.server.close()
    record_of(entry, 't2').mark_unreachable(entry.shared.clock.monotonic_s())
    assert (await entry.send(ONCE))[0] == 200
    assert len(backing_off.received) == 2


async def test_when_all_back_off_a_caller_is_refused_at_once(entry):
    """Guards against a Retry-After within the backoff of all targets."""
    await entry.set_targets(
        *(support.RawTarget(f't{number}', [backoff(4)]) for number in range(3))
    )
    times = []
    loop = asyncio.get_running_loop()
    for _ in range(3):
        began_s = loop.time()
        status, headers, _ = await entry.send(ONCE)
        assert status == 503
        times.append(float(headers['Retry-After']))
        assert loop.time() - began_s < 1
    assert all(3 < time_s <= 6 for time_s in times), times
    assert sum(len(target.received) for target in entry.targets) == 3


async def test_a_queued_request_is_refused_when_all_back_off(entry):
    """Guards against a queued request that waits for the end of the backoff."""
    target = support.RawTarget('t1', ['gated', 'gated', 'gated', backoff(9)])
    await entry.set_targets(target)
    requests = [asyncio.create_task(entry.send(ONCE)) for _ in range(4)]
    await support.wait_until(lambda: len(target.received) == 3)
    pool = entry.shared.services.pool(support.SERVICE)
    record = record_of(entry, 't1')
    now_s = entry.shared.clock.monotonic_s()
    pool.targets.apply_statement(
        record,
        statements.Statement(backoff_until_s=now_s + 9),
        now_s,
        target_record.ObservationSource.OWN,
    )
    await support.wait_until(
        lambda: any(request.done() for request in requests)
    )
    statuses = [request.result()[0] for request in requests if request.done()]
    assert statuses == [503]
    target.gate.set()
    await asyncio.gather(*requests)
    assert pool.targets.find('t1') is record


BAD_RETRY_AFTER = (
    'soon',
    '-3',
    'nan',
    '1e999',
    '9' * 4000,
    '0',
    'Thu, 01 Jan 1970 00:00:10 GMT',
    '5\r\nRetry-After: 1',
)


@pytest.mark.parametrize('text', BAD_RETRY_AFTER)
async def test_an_invalid_retry_after_is_ignored(entry, text):
    bad = support.RawTarget('t1', [backoff(text), 'ok'])
    await entry.set_targets(
        bad, support.RawTarget('t2'), support.RawTarget('t3')
    )
    for _ in range(10):
        assert (await entry.send(ONCE))[0] == 200
    assert record_of(entry, 't1').statements.backoff_until_s == 0


async def test_a_target_gets_one_request_after_its_backoff(entry):
    """Guards against a burst that is refused at the end of each backoff."""
    target = support.RawTarget('t1', [backoff(0.3), 'gated'])
    await entry.set_targets(target)
    await entry.send(ONCE)
    await asyncio.sleep(0.4)
    requests = [asyncio.create_task(entry.send(ONCE)) for _ in range(3)]
    await support.wait_until(lambda: len(target.received) == 2)
    await asyncio.sleep(0.1)
    assert len(target.received) == 2
    target.gate.set()
    assert {(await request)[0] for request in requests} == {200}


async def test_targets_that_accept_nothing_are_counted(entry):
    await entry.set_targets(
        support.RawTarget('t1', [backoff(4)]), support.RawTarget('t2')
    )
    for _ in range(6):
        await entry.send(ONCE)
    gauges = {
        gauge.name: gauge.value
        for gauge in request_metrics.service_gauges(entry.shared.services)
    }
    assert (gauges['targets'], gauges['targets_closed']) == (2, 1)


async def test_a_retry_after_with_200_is_ignored(entry):
    target = support.RawTarget('t1', [support.with_headers('Retry-After: 5')])
    await entry.set_targets(target)
    for _ in range(3):
        assert (await entry.send(ONCE))[0] == 200


def test_the_forecast_of_a_limit_and_a_backoff():
    limited = target_statements.TargetStatements()
    limited.apply(statements.Statement(limit_per_s=2.0), 100.0)
    backing_off = target_statements.TargetStatements()
    backing_off.apply(statements.Statement(backoff_until_s=103.0), 100.0)
    forecast = target_statements.forecast((limited, backing_off), 100.0)
    waits_s = [forecast.min_wait_s(ahead) for ahead in (0, 1, 4, 5, 50)]
    assert waits_s == [0.5, 1.0, 2.5, 3.0, 3.0]
