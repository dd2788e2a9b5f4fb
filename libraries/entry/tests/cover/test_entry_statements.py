"""Targets that ask for less in their answers, and what callers get then."""

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


async def test_a_target_at_its_limit_is_passed_by(entry):
    """Guards against a limit that the choice of a target doesn't know."""
    limited, other = (
        support.RawTarget('t1', [limit_of(0.2)]),
        support.RawTarget('t2'),
    )
    await entry.use(limited, other)
    for _ in range(20):
        assert (await entry.ask(ONCE))[0] == 200
    assert limited.ran <= 2


async def test_when_all_are_at_their_limits_a_caller_is_told_when_to_come(
    entry,
):
    """Guards against requests that wait for what can't come in their time."""
    await entry.use(support.RawTarget('t1', [limit_of(0.2)]))
    assert (await entry.ask(ONCE))[0] == 200
    began_s = asyncio.get_running_loop().time()
    status, headers, _ = await entry.ask(ONCE)
    taken_s = asyncio.get_running_loop().time() - began_s
    assert status == 503
    assert 4 < float(headers['Retry-After']) <= 8
    assert taken_s < 1
    assert entry.ran == 1


async def test_a_limit_ends_when_an_answer_names_none(entry):
    target = support.RawTarget('t1', [limit_of(50), 'ok'])
    await entry.use(target)
    for _ in range(12):
        assert (await entry.ask(ONCE))[0] == 200
    record = record_of(entry, 't1')
    assert record.statements.newest == statements.SILENT


BAD = (
    f'{LIMIT}: 0',
    f'{LIMIT}: -1',
    f'{LIMIT}: nan',
    f'{LIMIT}: many',
    f'{LIMIT}: 5\r\n{LIMIT}: 1',
)


@pytest.mark.parametrize('line', BAD)
async def test_a_limit_that_can_not_be_read_costs_no_service(entry, line):
    bad = support.RawTarget('t1', [support.with_headers(line)])
    await entry.use(bad, support.RawTarget('t2'))
    for _ in range(10):
        assert (await entry.ask(ONCE))[0] == 200


def sent(stated, clock, seconds, step_s=0.01):
    """Send whenever the statements allow it, and return how often."""
    count = 0
    for _ in range(round(seconds / step_s)):
        now_s = clock.monotonic_s()
        if stated.opens_at_s(now_s) <= now_s:
            stated.take(now_s)
            count += 1
        clock.advance(step_s)
    return count


@pytest.mark.parametrize('part', [1.0, 0.25])
@pytest.mark.parametrize('limit_per_s', [0.5, 1.0, 2.8, 40.0])
def test_nearly_all_of_a_part_is_used_and_no_more(limit_per_s, part):
    clock = clocks.ManualClock(100.0)
    stated = target_statements.TargetStatements()
    stated.part = part
    told = statements.Statement(limit_per_s=limit_per_s)
    stated.apply(told, clock.monotonic_s())
    whole = limit_per_s * part * 60
    assert 0.9 * whole - 1 <= sent(stated, clock, 60) <= whole + 1


def test_a_pause_is_made_up_for_by_one_request_at_most():
    clock = clocks.ManualClock(100.0)
    stated = target_statements.TargetStatements()
    stated.apply(statements.Statement(limit_per_s=1.0), clock.monotonic_s())
    clock.advance(20)
    assert sent(stated, clock, 0.5) == 2


def test_a_request_that_was_not_sent_is_given_back():
    clock = clocks.ManualClock(100.0)
    stated = target_statements.TargetStatements()
    stated.apply(statements.Statement(limit_per_s=1.0), clock.monotonic_s())
    clock.advance(1)
    stated.take(clock.monotonic_s())
    stated.refund()
    assert stated.opens_at_s(clock.monotonic_s()) <= clock.monotonic_s()


def test_what_was_told_earlier_changes_nothing():
    stated = target_statements.TargetStatements()
    assert stated.apply(statements.Statement(limit_per_s=1.0), 100.0)
    assert not stated.apply(statements.SILENT, 99.0)
    assert stated.newest.limit_per_s == 1.0


LEAVING_ANSWERS = (
    LEAVING,
    support.with_headers(f'{support.NAMES.leaving}: 1', status='500 Bad'),
    support.with_headers(
        f'{support.NAMES.leaving}: 1',
        f'{support.NAMES.not_run}: 1',
        status='503 Full',
    ),
    # Truncated, and without the proof of a target.
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
    """Guards against a statement that is read from good answers only."""
    leaving = support.RawTarget('t1', [answer])
    other = support.RawTarget('t2')
    await entry.use(leaving, other)
    record_of(entry, 't2').estimate.failed(
        entry.shared.clock.monotonic_s(),
        is_early=False,
    )
    for _ in range(10):
        await entry.ask()
    assert len(leaving.seen) == 1
    # Neither a list nor an entry that is kept undoes it.
    await entry.use(leaving, other, support.RawTarget('t3'))
    assert record_of(entry, 't3') is not None
    assert record_of(entry, 't1') is None


async def test_another_start_of_a_target_that_left_is_used(entry):
    target = support.RawTarget('t1', [LEAVING, 'ok'])
    await entry.use(target)
    await entry.ask()
    assert (await entry.ask())[0] == 503
    target.name = 't1-again'
    await entry.use(target)
    assert (await entry.ask())[0] == 200


async def test_what_another_target_at_the_address_says_is_not_its_own(entry):
    moved = support.with_headers(
        f'{support.NAMES.leaving}: 1',
        status='421 Misdirected Request',
    )
    await entry.use(support.RawTarget('t1', [moved, 'ok']))
    await entry.ask()
    await entry.use(*entry.targets, support.RawTarget('t2'))
    assert record_of(entry, 't1') is not None


async def test_a_late_answer_to_another_request_is_not_heard(entry):
    """Guards against a statement that came with another request's answer."""

    def late_extra(echo):
        extra = f'{support.NAMES.leaving}: 1'
        return b''.join(
            (support.answer('another', extra=extra), support.answer(echo))
        )

    await entry.use(support.RawTarget('t1', [late_extra, 'ok']))
    for _ in range(3):
        assert (await entry.ask())[0] == 200


async def test_leaving_0_is_no_leaving(entry):
    stays = support.with_headers(f'{support.NAMES.leaving}: 0')
    await entry.use(support.RawTarget('t1', [stays]))
    for _ in range(3):
        assert (await entry.ask())[0] == 200


class HalfAnswering(support.RawTarget):
    """Keeps the end of its answer back until the gate opens."""

    async def _answer(self, behaviour, headers, reader, writer):
        whole = LEAVING(headers[support.NAMES.attempt_id])
        writer.write(whole[:-4])
        await self.gate.wait()
        writer.write(whole[-4:])
        return True


async def test_the_head_of_a_long_answer_is_heard_before_its_end(entry):
    """Guards against a statement that waits for the end of an answer."""
    target = HalfAnswering('t1')
    await entry.use(target)
    asking = asyncio.create_task(entry.ask())
    await support.wait_until(lambda: record_of(entry, 't1') is None)
    target.gate.set()
    assert (await asking)[0] == 200


def resting(seconds, status='503 Full'):
    return support.with_headers(
        f'Retry-After: {seconds}',
        f'{support.NAMES.not_run}: 1',
        status=status,
    )


async def test_a_target_that_asked_for_rest_is_left_alone_so_long(entry):
    """Guards against a pause that is the same whatever a target asks for."""
    tired, other = (
        support.RawTarget('t1', [resting(1), 'ok']),
        support.RawTarget('t2'),
    )
    await entry.use(tired, other)
    loop = asyncio.get_running_loop()
    while not tired.seen:
        assert (await entry.ask(ONCE))[0] == 200
    began_s = loop.time()
    while loop.time() < began_s + 0.9:
        assert (await entry.ask(ONCE))[0] == 200
    assert len(tired.seen) == 1
    await asyncio.sleep(0.2)
    other.server.close()
    record_of(entry, 't2').mark_unreachable(entry.shared.clock.monotonic_s())
    assert (await entry.ask(ONCE))[0] == 200
    assert len(tired.seen) == 2


async def test_when_all_rest_a_caller_is_told_how_long_at_once(entry):
    """Guards against a refusal that names a time at which all still rest."""
    await entry.use(
        *(support.RawTarget(f't{one}', [resting(4)]) for one in range(3))
    )
    times = []
    loop = asyncio.get_running_loop()
    for _ in range(3):
        began_s = loop.time()
        status, headers, _ = await entry.ask(ONCE)
        assert status == 503
        times.append(float(headers['Retry-After']))
        assert loop.time() - began_s < 1
    assert all(3 < one <= 6 for one in times), times
    assert sum(len(target.seen) for target in entry.targets) == 3


async def test_a_request_that_waits_is_refused_when_all_rest(entry):
    """Guards against requests that were queued before the target asked for rest."""
    target = support.RawTarget('t1', ['gated', 'gated', 'gated', resting(9)])
    await entry.use(target)
    asking = [asyncio.create_task(entry.ask(ONCE)) for _ in range(4)]
    await support.wait_until(lambda: len(target.seen) == 3)
    pool = entry.shared.services.pool(support.SERVICE)
    record = record_of(entry, 't1')
    now_s = entry.shared.clock.monotonic_s()
    pool.targets.apply_statement(
        record,
        statements.Statement(backoff_until_s=now_s + 9),
        now_s,
        target_record.ObservationSource.OWN,
    )
    await support.wait_until(lambda: any(one.done() for one in asking))
    statuses = [one.result()[0] for one in asking if one.done()]
    assert statuses == [503]
    target.gate.set()
    await asyncio.gather(*asking)
    assert pool.targets.find('t1') is record


BAD_RESTS = (
    'soon',
    '-3',
    'nan',
    '1e999',
    '9' * 4000,
    '0',
    'Thu, 01 Jan 1970 00:00:10 GMT',
    '5\r\nRetry-After: 1',
)


@pytest.mark.parametrize('text', BAD_RESTS)
async def test_a_rest_that_can_not_be_read_costs_no_service(entry, text):
    bad = support.RawTarget('t1', [resting(text), 'ok'])
    await entry.use(bad, support.RawTarget('t2'), support.RawTarget('t3'))
    for _ in range(10):
        assert (await entry.ask(ONCE))[0] == 200
    assert record_of(entry, 't1').statements.backoff_until_s == 0


async def test_a_target_gets_one_request_after_its_rest(entry):
    """Guards against a burst that is turned away at the end of each rest."""
    target = support.RawTarget('t1', [resting(0.3), 'gated'])
    await entry.use(target)
    await entry.ask(ONCE)
    await asyncio.sleep(0.4)
    asking = [asyncio.create_task(entry.ask(ONCE)) for _ in range(3)]
    await support.wait_until(lambda: len(target.seen) == 2)
    await asyncio.sleep(0.1)
    assert len(target.seen) == 2
    target.gate.set()
    assert {(await one)[0] for one in asking} == {200}


async def test_targets_that_want_nothing_are_counted(entry):
    await entry.use(
        support.RawTarget('t1', [resting(4)]), support.RawTarget('t2')
    )
    for _ in range(6):
        await entry.ask(ONCE)
    figures = {
        one.name: one.value
        for one in request_metrics.service_gauges(entry.shared.services)
    }
    assert (figures['targets'], figures['targets_closed']) == (2, 1)


async def test_a_rest_named_with_200_is_none(entry):
    target = support.RawTarget('t1', [support.with_headers('Retry-After: 5')])
    await entry.use(target)
    for _ in range(3):
        assert (await entry.ask(ONCE))[0] == 200


def test_what_a_limit_and_a_rest_leave_open_together():
    limited = target_statements.TargetStatements()
    limited.apply(statements.Statement(limit_per_s=2.0), 100.0)
    resting_one = target_statements.TargetStatements()
    resting_one.apply(statements.Statement(backoff_until_s=103.0), 100.0)
    forecast = target_statements.forecast((limited, resting_one), 100.0)
    waits_s = [forecast.min_wait_s(ahead) for ahead in (0, 1, 4, 5, 50)]
    assert waits_s == [0.5, 1.0, 2.5, 3.0, 3.0]
