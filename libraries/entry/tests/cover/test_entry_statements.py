"""Targets that ask for less in their answers, and what callers get then."""

import asyncio

import entry_support as given
import pytest
from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.entry import target_statements
from sardinepier.gateway import statements

ONCE = '/once/1'
LIMIT = given.NAMES.limit
LEAVING = given.telling(f'{given.NAMES.leaving}: 1')


def limit_of(per_s):
    return given.telling(f'{LIMIT}: {per_s}')


def record_of(entry, name):
    pool = entry.shared.services.pool(given.SERVICE)
    return pool.targets.find(ids.TargetId(name))


async def test_a_target_at_its_limit_is_passed_by(entry):
    """Guards against a limit that the choice of a target doesn't know."""
    limited, other = (
        given.RawTarget('t1', [limit_of(0.2)]),
        given.RawTarget('t2'),
    )
    await entry.use(limited, other)
    for _ in range(20):
        assert (await entry.ask(ONCE))[0] == 200
    assert limited.ran <= 2


async def test_when_all_are_at_their_limits_a_caller_is_told_when_to_come(
    entry,
):
    """Guards against requests that wait for what can't come in their time."""
    await entry.use(given.RawTarget('t1', [limit_of(0.2)]))
    assert (await entry.ask(ONCE))[0] == 200
    began_s = asyncio.get_running_loop().time()
    status, headers, _ = await entry.ask(ONCE)
    taken_s = asyncio.get_running_loop().time() - began_s
    assert status == 503
    assert 4 < float(headers['Retry-After']) <= 8
    assert taken_s < 1
    assert entry.ran == 1


async def test_a_limit_ends_when_an_answer_names_none(entry):
    target = given.RawTarget('t1', [limit_of(50), 'ok'])
    await entry.use(target)
    for _ in range(12):
        assert (await entry.ask(ONCE))[0] == 200
    record = record_of(entry, 't1')
    assert record.stated.newest == statements.SILENT


BAD = (
    f'{LIMIT}: 0',
    f'{LIMIT}: -1',
    f'{LIMIT}: nan',
    f'{LIMIT}: many',
    f'{LIMIT}: 5\r\n{LIMIT}: 1',
)


@pytest.mark.parametrize('line', BAD)
async def test_a_limit_that_can_not_be_read_costs_no_service(entry, line):
    bad = given.RawTarget('t1', [given.telling(line)])
    await entry.use(bad, given.RawTarget('t2'))
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
    stated.hear(told, clock.monotonic_s())
    whole = limit_per_s * part * 60
    assert 0.9 * whole - 1 <= sent(stated, clock, 60) <= whole + 1


def test_a_pause_is_made_up_for_by_one_request_at_most():
    clock = clocks.ManualClock(100.0)
    stated = target_statements.TargetStatements()
    stated.hear(statements.Statement(limit_per_s=1.0), clock.monotonic_s())
    clock.advance(20)
    assert sent(stated, clock, 0.5) == 2


def test_a_request_that_was_not_sent_is_given_back():
    clock = clocks.ManualClock(100.0)
    stated = target_statements.TargetStatements()
    stated.hear(statements.Statement(limit_per_s=1.0), clock.monotonic_s())
    clock.advance(1)
    stated.take(clock.monotonic_s())
    stated.give_back()
    assert stated.opens_at_s(clock.monotonic_s()) <= clock.monotonic_s()


def test_what_was_told_earlier_changes_nothing():
    stated = target_statements.TargetStatements()
    assert stated.hear(statements.Statement(limit_per_s=1.0), 100.0)
    assert not stated.hear(statements.SILENT, 99.0)
    assert stated.newest.limit_per_s == 1.0


LEAVING_ANSWERS = (
    LEAVING,
    given.telling(f'{given.NAMES.leaving}: 1', status='500 Bad'),
    given.telling(
        f'{given.NAMES.leaving}: 1',
        f'{given.NAMES.not_run}: 1',
        status='503 Full',
    ),
    # Truncated, and without the proof of a target.
    lambda echo: LEAVING(echo)[:-4],
    lambda echo: given.answer(
        echo,
        signed=False,
        extra=f'{given.NAMES.leaving}: 1',
    ),
)


@pytest.mark.parametrize('answer', LEAVING_ANSWERS)
async def test_whatever_the_answer_a_leaving_target_gets_nothing_more(
    entry,
    answer,
):
    """Guards against a statement that is read from good answers only."""
    leaving = given.RawTarget('t1', [answer])
    other = given.RawTarget('t2')
    await entry.use(leaving, other)
    record_of(entry, 't2').belief.failed(
        entry.shared.clock.monotonic_s(),
        is_early=False,
    )
    for _ in range(10):
        await entry.ask()
    assert len(leaving.seen) == 1
    # Neither a list nor an entry that is kept undoes it.
    await entry.use(leaving, other, given.RawTarget('t3'))
    assert record_of(entry, 't3') is not None
    assert record_of(entry, 't1') is None


async def test_another_start_of_a_target_that_left_is_used(entry):
    target = given.RawTarget('t1', [LEAVING, 'ok'])
    await entry.use(target)
    await entry.ask()
    assert (await entry.ask())[0] == 503
    target.name = 't1-again'
    await entry.use(target)
    assert (await entry.ask())[0] == 200


async def test_what_another_target_at_the_address_says_is_not_its_own(entry):
    moved = given.telling(
        f'{given.NAMES.leaving}: 1',
        status='421 Misdirected Request',
    )
    await entry.use(given.RawTarget('t1', [moved, 'ok']))
    await entry.ask()
    await entry.use(*entry.targets, given.RawTarget('t2'))
    assert record_of(entry, 't1') is not None


async def test_a_late_answer_to_another_request_is_not_heard(entry):
    """Guards against a statement that came with another request's answer."""

    def late_extra(echo):
        extra = f'{given.NAMES.leaving}: 1'
        return b''.join(
            (given.answer('another', extra=extra), given.answer(echo))
        )

    await entry.use(given.RawTarget('t1', [late_extra, 'ok']))
    for _ in range(3):
        assert (await entry.ask())[0] == 200


async def test_leaving_0_is_no_leaving(entry):
    stays = given.telling(f'{given.NAMES.leaving}: 0')
    await entry.use(given.RawTarget('t1', [stays]))
    for _ in range(3):
        assert (await entry.ask())[0] == 200


class HalfAnswering(given.RawTarget):
    """Keeps the end of its answer back until the gate opens."""

    async def _answer(self, behaviour, headers, reader, writer):
        whole = LEAVING(headers[given.NAMES.attempt_id])
        writer.write(whole[:-4])
        await self.gate.wait()
        writer.write(whole[-4:])
        return True


async def test_the_head_of_a_long_answer_is_heard_before_its_end(entry):
    """Guards against a statement that waits for the end of an answer."""
    target = HalfAnswering('t1')
    await entry.use(target)
    asking = asyncio.create_task(entry.ask())
    await given.until(lambda: record_of(entry, 't1') is None)
    target.gate.set()
    assert (await asking)[0] == 200
