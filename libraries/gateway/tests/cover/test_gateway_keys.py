"""Keys across daemons, resends and callers that hang up."""

import asyncio
import json

import pytest

from sardinepier.core import clock as clocks
from sardinepier.membership import members

POSTING = '/books/postings'


async def key_headers(world, part='1'):
    return {'Idempotency-Key': f'{await world.ticket()}.{part}'}


def outcome_of(answer):
    return answer.headers['Sardinepier-Outcome']


async def until(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.005)


async def test_resends_anywhere_join_the_running_attempt(world):
    target = await world.add_target('hang')
    await world.add_gateway()
    await world.add_gateway()
    headers = await key_headers(world)
    sends = [
        asyncio.ensure_future(
            world.send('POST', POSTING, at=at, headers=headers, data=b'x'),
        )
        for at in (0, 1, 0, 1)
    ]
    await until(lambda: target.seen)
    await asyncio.sleep(0.05)
    target.released.set()
    for answer, content in await asyncio.gather(*sends):
        assert (answer.status, outcome_of(answer)) == (200, 'completed')
        assert content == target.content
    assert list(target.ran.values()) == [1]


async def test_a_resend_in_less_time_gets_its_answer_at_its_own_deadline(
    world,
):
    target = await world.add_target('hang')
    await world.add_gateway()
    headers = await key_headers(world)
    first = asyncio.ensure_future(
        world.send('POST', POSTING, headers=headers),
    )
    await until(lambda: target.seen)
    hasty = {**headers, 'Sardinepier-Deadline-Ms': '50'}
    answer, _ = await world.send('POST', POSTING, headers=hasty)
    assert (answer.status, outcome_of(answer)) == (504, 'unknown')
    target.released.set()
    assert (await first)[0].status == 200
    assert list(target.ran.values()) == [1]


async def test_work_with_a_key_goes_on_when_its_caller_hangs_up(world):
    target = await world.add_target('hang')
    gateway = await world.add_gateway()
    headers = await key_headers(world)
    first = asyncio.ensure_future(
        world.send('POST', POSTING, headers=headers),
    )
    await until(lambda: target.seen)
    first.cancel()
    await asyncio.sleep(0.05)
    assert not target.closed
    target.released.set()
    answer, content = await world.send('POST', POSTING, headers=headers)
    assert (answer.status, content) == (200, target.content)
    assert list(target.ran.values()) == [1]
    assert gateway.context.activity.in_flight == 0


async def test_idempotent_work_ends_when_its_caller_hangs_up(world):
    target = await world.add_target('hang')
    gateway = await world.add_gateway()
    sent = asyncio.ensure_future(world.send('GET', '/books/books/1'))
    await until(lambda: target.seen)
    sent.cancel()
    await until(lambda: target.closed)
    await until(lambda: not gateway.context.activity.in_flight)
    assert gateway.runtime().slots.report() == {}


async def test_the_home_of_a_key_is_gone(world):
    target = await world.add_target('ok')
    home = await world.add_gateway()
    await world.add_gateway()
    headers = await key_headers(world)
    states = {
        'stopped': world.view.known,
        'dead': [
            home.member(members.MemberState.DEAD),
            world.view.known[1],
        ],
        'unknown': world.view.known[1:],
    }
    await home.server.close(0)
    for known in states.values():
        world.view.known = list(known)
        answer, content = await world.send(
            'POST',
            POSTING,
            at=1,
            headers=headers,
        )
        assert (answer.status, outcome_of(answer)) == (502, 'unknown')
        assert json.loads(content)['type'].endswith('home-unreachable')
    assert not target.seen


@pytest.mark.parametrize('is_late', [False, True])
async def test_the_home_does_not_answer_the_relay(world, is_late):
    target = await world.add_target('hang')
    home = await world.add_gateway()
    await world.add_gateway()
    headers = await key_headers(world)
    hasty = {**headers, 'Sardinepier-Deadline-Ms': '1500'}
    answer, _ = await world.send('POST', POSTING, at=1, headers=hasty)
    assert (answer.status, outcome_of(answer)) in {
        (502, 'unknown'),
        (504, 'unknown'),
    }
    # The home gives up a moment after the relay does.
    await until(lambda: not home.runtime().slots.report())
    if is_late:
        target.released.set()
    again, _ = await world.send('POST', POSTING, at=0, headers=headers)
    assert outcome_of(again) == 'unknown'
    assert list(target.ran.values()) == [1]


async def test_a_daemon_replaced_at_the_same_address_is_not_the_home(world):
    target = await world.add_target('ok')
    await world.add_gateway()
    successor = await world.add_gateway()
    third = await world.add_gateway()
    headers = await key_headers(world)
    # The view of the third still has the home, at the successor's address.
    world.view.known[0] = members.Member(
        **{
            **_fields(world.gateways[0].member()),
            'http_port': successor.port,
        },
    )
    answer, content = await world.send(
        'POST',
        POSTING,
        port=third.port,
        headers=headers,
    )
    assert (answer.status, outcome_of(answer)) == (421, 'unknown')
    assert json.loads(content)['type'].endswith('foreign-home')
    assert not target.seen


def _fields(member):
    return {name: getattr(member, name) for name in member.__slots__}


async def test_an_expired_key_is_unknown_and_never_runs(world):
    target = await world.add_target()
    clock = clocks.ManualClock(100)
    gateway = await world.add_gateway(clock=clock)
    headers = await key_headers(world)
    used = await key_headers(world, 'used')
    await world.send('POST', POSTING, headers=used)
    clock.advance(4 * 3600)
    gateway.guard.set_gap_ms(10**9)
    for sent in (headers, used):
        answer, _ = await world.send('POST', POSTING, headers=sent)
        assert (answer.status, outcome_of(answer)) == (410, 'unknown')
    assert len(target.seen) == 1


async def test_after_a_pause_nothing_starts_until_confirmed(world):
    target = await world.add_target()
    clock = clocks.ManualClock(100)
    gateway = await world.add_gateway(clock=clock)
    gateway.guard.set_gap_ms(400)
    ticking = asyncio.ensure_future(gateway.guard.run())
    headers = await key_headers(world)
    await world.send('POST', POSTING, headers=headers)
    gateway.is_confirmed = False
    clock.advance(60)
    first, _ = await world.send('GET', '/books/books/1', headers={})
    assert (first.status, outcome_of(first)) == (503, 'not-run')
    assert first.headers['Retry-After'] == '1'
    # A resend of a key that ran is refused too, but not as not run.
    again, _ = await world.send('POST', POSTING, headers=headers)
    assert (again.status, outcome_of(again)) == (503, 'unknown')
    assert gateway.gaps == [(60_000, 400)]
    assert len(target.seen) == 1
    gateway.is_confirmed = True
    await until(gateway.guard.check)
    good, _ = await world.send('GET', '/books/books/1')
    assert good.status == 200
    ticking.cancel()


async def test_a_pause_in_the_queue_is_noticed_before_the_first_byte(world):
    target = await world.add_target('hang')
    clock = clocks.ManualClock(100)
    gateway = await world.add_gateway(clock=clock, slots=1)
    headers = await key_headers(world)
    holding = asyncio.ensure_future(world.send('GET', '/books/books/1'))
    await until(lambda: target.seen)
    waiting = asyncio.ensure_future(
        world.send('POST', POSTING, headers=headers),
    )
    await until(lambda: len(gateway.runtime().queue))
    gateway.is_confirmed = False
    gateway.guard.set_gap_ms(500)
    clock.advance(1)
    target.released.set()
    answer, _ = await waiting
    assert outcome_of(answer) == 'not-run'
    await holding
    assert len(target.seen) == 1
