"""Tests shedding, draining, counting and faults of the stand-in target."""

import asyncio
import contextlib
import random

import aiohttp
import msgspec
import pytest

from sardinepier.core import clock, errors
from sardinepier.standins import (
    target_answers,
    target_faults,
    target_settings,
    target_standin,
)


@contextlib.asynccontextmanager
async def serving(**settings):
    options = target_settings.TargetStandinSettings('t1', **settings)
    standin = target_standin.TargetStandin(
        options, clock.SystemClock(), random.Random(1)
    )
    port = await standin.start('127.0.0.1', 0)
    base = f'http://127.0.0.1:{port}'
    async with aiohttp.ClientSession(base) as session:
        yield standin, session
    await standin.stop()


async def post(session, body=b'thesis', **headers):
    names = {name.replace('_', '-'): text for name, text in headers.items()}
    async with session.post('/deposits', data=body, headers=names) as reply:
        return reply, await reply.read()


async def test_answer_is_checked_against_its_own_request_only():
    async with serving(answer_bytes=10) as (standin, session):
        reply, raw = await post(
            session, Request_Tag='tag', Idempotency_Key='key'
        )
        path = '/deposit/deposits'
        assert reply.status == 200
        assert target_answers.answers_request(raw, 'tag', path, b'thesis')
        for wrong in (
            (raw[:-1], 'tag', path, b'thesis'),
            (raw, 'other', path, b'thesis'),
            (raw, 'tag', '/other', b'thesis'),
            (raw, 'tag', path, b'other'),
        ):
            assert not target_answers.answers_request(*wrong)
        assert standin.counts().by_key == {'key': 1}
        assert standin.counts().by_tag == {'tag': 1}


async def test_requests_beyond_the_slots_are_shed_and_not_counted():
    async with serving(slots=1, service_ms=200) as (standin, session):
        replies = await asyncio.gather(post(session), post(session))
        assert sorted(reply.status for reply, _ in replies) == [200, 503]
        shed = next(reply for reply, _ in replies if reply.status == 503)
        assert shed.headers['Shed'] == 'not-run'
        assert (standin.counts().total, standin.counts().shed) == (1, 1)


@pytest.mark.parametrize(
    ('left_ms', 'status', 'executions'),
    [('-1', 503, 0), ('5', 504, 1), ('60000', 200, 1), ('soon', 400, 0)],
)
async def test_deadline_header_is_honoured(left_ms, status, executions):
    async with serving(service_ms=100) as (standin, session):
        reply, _ = await post(session, Sardinepier_Deadline_Ms=left_ms)
        assert reply.status == status
        assert standin.counts().total == executions


@pytest.mark.parametrize(
    ('moment', 'executions', 'is_answered'),
    [
        (target_faults.DropMoment.BEFORE, 0, False),
        (target_faults.DropMoment.DURING, 1, False),
        (target_faults.DropMoment.AFTER, 1, False),
        (target_faults.DropMoment.IDLE, 1, True),
    ],
)
async def test_executions_count_if_connections_drop_after_the_start(
    moment, executions, is_answered
):
    async with serving() as (standin, session):
        standin.set_fault(
            target_faults.Fault(drop_percent=100, drop_moment=moment)
        )
        if is_answered:
            reply, _ = await post(session)
            assert reply.status == 200
        else:
            with pytest.raises(aiohttp.ClientConnectionError):
                await post(session)
        assert standin.counts().total == executions


async def test_truncated_answer_fails_to_read():
    async with serving() as (standin, session):
        standin.set_fault(target_faults.Fault(truncated_percent=100))
        with pytest.raises(aiohttp.ClientPayloadError):
            await post(session)


async def test_only_a_poisoned_request_crashes_the_target():
    async with serving() as (standin, session):
        standin.set_fault(target_faults.Fault(poison='rm'))
        assert (await post(session))[0].status == 200
        with pytest.raises(aiohttp.ClientConnectionError):
            await post(session, body=b'a rm b')
        assert standin.counts().total == 2


async def test_health_stays_good_under_faults_and_unknown_faults_are_rejected():
    async with serving() as (_, session):
        fault = msgspec.json.encode(target_faults.Fault(error_percent=100))
        async with session.post('/control/fault', data=fault) as reply:
            assert reply.status == 200
        assert (await post(session))[0].status == 500
        async with session.get('/health') as reply:
            assert await reply.json() == {'healthy': True}
        async with session.post(
            '/control/fault', data=b'{"speed": 1}'
        ) as reply:
            assert reply.status == 400
            assert 'speed' in (await reply.json())['problem']


async def test_draining_is_announced_before_requests_are_refused():
    async with serving(drain_ms=0) as (standin, session):
        standin.drain()
        reply, _ = await post(session)
        assert reply.status == 503
        assert reply.headers['Draining'] == 'yes'
        await asyncio.wait_for(standin.drained(), timeout=10)
    async with serving(drain_ms=60_000) as (standin, session):
        standin.drain()
        reply, _ = await post(session)
        assert reply.status == 200
        assert reply.headers['Draining'] == 'yes'


async def test_slot_is_released_when_the_client_disconnects():
    async with serving(slots=1, service_ms=60_000) as (standin, session):
        with pytest.raises(asyncio.TimeoutError):
            await asyncio.wait_for(post(session), timeout=0.2)
        reply, _ = await post(session, Sardinepier_Deadline_Ms='20')
        while reply.status == 503:
            await asyncio.sleep(0.01)
            reply, _ = await post(session, Sardinepier_Deadline_Ms='20')
        assert reply.status == 504


async def test_executions_survive_the_process(tmp_path):
    path = str(tmp_path / 'executions')
    async with serving(executions_path=path) as (_, session):
        await post(session, Idempotency_Key='key')
    async with serving(executions_path=path) as (standin, session):
        await post(session, Idempotency_Key='key')
        assert standin.counts().by_key == {'key': 2}


def test_flapping_fault_is_active_in_every_other_period():
    manual = clock.ManualClock()
    source = target_faults.FaultSource(manual, random.Random(1))
    source.set_fault(
        target_faults.Fault(error_percent=100, flap_period_ms=1000)
    )
    effects = []
    for _ in range(4):
        effects.append(source.draw(b''))
        manual.advance(1.0)
    error, none = target_faults.Effect.ERROR, target_faults.Effect.NONE
    assert effects == [error, none, error, none]


@pytest.mark.parametrize(
    'settings',
    [
        {'slots': 0},
        {'service_ms': -1},
        {'cold_factor': 0.5},
        {'jitter_percent': 101},
        {'drain_ms': 'soon'},
    ],
)
def test_settings_out_of_range_are_rejected(settings):
    with pytest.raises(errors.InvalidArgumentError, match=next(iter(settings))):
        target_settings.TargetStandinSettings('t1', **settings)
