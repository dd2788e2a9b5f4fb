"""Idempotency keys across daemons, resends and callers that hang up."""

import asyncio
import json

import pytest

from sardinepier.core import clock as clocks
from sardinepier.membership import members

POSTING = '/books/postings'


async def key_headers(harness, part='1'):
    return {'Idempotency-Key': f'{await harness.ticket()}.{part}'}


def outcome_of(answer):
    return answer.headers['Sardinepier-Outcome']


async def until(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.005)


async def test_resends_to_any_daemon_join_the_running_attempt(harness):
    target = await harness.add_target('hang')
    await harness.add_gateway()
    await harness.add_gateway()
    headers = await key_headers(harness)
    sends = [
        asyncio.ensure_future(
            harness.send('POST', POSTING, at=at, headers=headers, data=b'x'),
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


async def test_a_resend_is_answered_by_its_own_shorter_deadline(
    harness,
):
    target = await harness.add_target('hang')
    await harness.add_gateway()
    headers = await key_headers(harness)
    first = asyncio.ensure_future(
        harness.send('POST', POSTING, headers=headers),
    )
    await until(lambda: target.seen)
    short_deadline = {**headers, 'Sardinepier-Deadline-Ms': '50'}
    answer, _ = await harness.send('POST', POSTING, headers=short_deadline)
    assert (answer.status, outcome_of(answer)) == (504, 'unknown')
    target.released.set()
    assert (await first)[0].status == 200
    assert list(target.ran.values()) == [1]


async def test_a_keyed_request_continues_when_its_caller_hangs_up(harness):
    target = await harness.add_target('hang')
    gateway = await harness.add_gateway()
    headers = await key_headers(harness)
    first = asyncio.ensure_future(
        harness.send('POST', POSTING, headers=headers),
    )
    await until(lambda: target.seen)
    first.cancel()
    await asyncio.sleep(0.05)
    assert not target.closed
    target.released.set()
    answer, content = await harness.send('POST', POSTING, headers=headers)
    assert (answer.status, content) == (200, target.content)
    assert list(target.ran.values()) == [1]
    assert gateway.context.activity.in_flight == 0


async def test_an_idempotent_request_ends_when_its_caller_hangs_up(harness):
    target = await harness.add_target('hang')
    gateway = await harness.add_gateway()
    sent = asyncio.ensure_future(harness.send('GET', '/books/books/1'))
    await until(lambda: target.seen)
    sent.cancel()
    await until(lambda: target.closed)
    await until(lambda: not gateway.context.activity.in_flight)
    assert gateway.runtime().slots.report() == {}


async def test_the_home_of_a_key_is_gone(harness):
    target = await harness.add_target('ok')
    home = await harness.add_gateway()
    await harness.add_gateway()
    headers = await key_headers(harness)
    states = {
        'stopped': harness.view.current_members,
        'dead': [
            home.member(members.MemberState.DEAD),
            harness.view.current_members[1],
        ],
        'unknown': harness.view.current_members[1:],
    }
    await home.server.close(0)
    for current_members in states.values():
        harness.view.current_members = list(current_members)
        answer, content = await harness.send(
            'POST',
            POSTING,
            at=1,
            headers=headers,
        )
        assert (answer.status, outcome_of(answer)) == (502, 'unknown')
        assert json.loads(content)['type'].endswith('home-unreachable')
    assert not target.seen


@pytest.mark.parametrize('is_late', [False, True])
async def test_the_home_does_not_answer_the_relay(harness, is_late):
    target = await harness.add_target('hang')
    home = await harness.add_gateway()
    await harness.add_gateway()
    headers = await key_headers(harness)
    short_deadline = {**headers, 'Sardinepier-Deadline-Ms': '1500'}
    answer, _ = await harness.send(
        'POST', POSTING, at=1, headers=short_deadline
    )
    assert (answer.status, outcome_of(answer)) in {
        (502, 'unknown'),
        (504, 'unknown'),
    }
    # The home gives up shortly after the relaying daemon does.
    await until(lambda: not home.runtime().slots.report())
    if is_late:
        target.released.set()
    again, _ = await harness.send('POST', POSTING, at=0, headers=headers)
    assert outcome_of(again) == 'unknown'
    assert list(target.ran.values()) == [1]


async def test_a_daemon_replaced_at_the_same_address_is_not_the_home(harness):
    target = await harness.add_target('ok')
    await harness.add_gateway()
    successor = await harness.add_gateway()
    third = await harness.add_gateway()
    headers = await key_headers(harness)
    # The third daemon still finds the home, at the successor's address.
    harness.view.current_members[0] = members.Member(
        **{
            **_fields(harness.gateways[0].member()),
            'http_port': successor.port,
        },
    )
    answer, content = await harness.send(
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


async def test_an_expired_key_is_unknown_and_never_runs(harness):
    target = await harness.add_target()
    clock = clocks.ManualClock(100)
    gateway = await harness.add_gateway(clock=clock)
    headers = await key_headers(harness)
    used = await key_headers(harness, 'used')
    await harness.send('POST', POSTING, headers=used)
    clock.advance(4 * 3600)
    gateway.guard.set_gap_ms(10**9)
    for sent in (headers, used):
        answer, _ = await harness.send('POST', POSTING, headers=sent)
        assert (answer.status, outcome_of(answer)) == (410, 'unknown')
    assert len(target.seen) == 1


async def test_after_a_pause_nothing_starts_until_confirmed(harness):
    target = await harness.add_target()
    clock = clocks.ManualClock(100)
    gateway = await harness.add_gateway(clock=clock)
    gateway.guard.set_gap_ms(400)
    ticking = asyncio.ensure_future(gateway.guard.run())
    headers = await key_headers(harness)
    await harness.send('POST', POSTING, headers=headers)
    gateway.is_confirmed = False
    clock.advance(60)
    first, _ = await harness.send('GET', '/books/books/1', headers={})
    assert (first.status, outcome_of(first)) == (503, 'not-run')
    assert first.headers['Retry-After'] == '1'
    # A resend of a key that ran is also refused, but not with ``not-run``.
    again, _ = await harness.send('POST', POSTING, headers=headers)
    assert (again.status, outcome_of(again)) == (503, 'unknown')
    assert gateway.pauses == [(60_000, 400)]
    assert len(target.seen) == 1
    gateway.is_confirmed = True
    await until(gateway.guard.check)
    good, _ = await harness.send('GET', '/books/books/1')
    assert good.status == 200
    ticking.cancel()


async def test_a_pause_in_the_queue_is_noticed_before_the_first_byte(harness):
    target = await harness.add_target('hang')
    clock = clocks.ManualClock(100)
    gateway = await harness.add_gateway(clock=clock, slots=1)
    headers = await key_headers(harness)
    holding = asyncio.ensure_future(harness.send('GET', '/books/books/1'))
    await until(lambda: target.seen)
    waiting = asyncio.ensure_future(
        harness.send('POST', POSTING, headers=headers),
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
