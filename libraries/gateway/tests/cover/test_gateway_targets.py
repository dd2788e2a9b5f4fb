"""Target selection, quarantine, queueing, hedging and draining."""

import asyncio
import json

import pytest

from sardinepier.core import clock as clocks
from sardinepier.gateway import connections
from sardinepier.health import targets
from sardinepier.telemetry import daemon_events, target_events


def outcome_of(answer):
    return answer.headers['Sardinepier-Outcome']


async def until(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.005)


async def test_a_request_is_quarantined_after_two_crashed_targets(harness):
    await harness.add_targets('ok', 'ok', 'ok', 'ok')
    gateway = await harness.add_gateway()
    first, _ = await harness.send('GET', '/books/books/poison')
    assert (first.status, outcome_of(first)) == (502, 'unknown')
    for _ in range(3):
        again, content = await harness.send('GET', '/books/books/poison')
        assert (again.status, outcome_of(again)) == (503, 'not-run')
        assert json.loads(content)['type'].endswith('quarantined')
        assert int(again.headers['Retry-After']) > 1
        good, _ = await harness.send('GET', '/books/books/other')
        assert good.status == 200
    assert harness.runs()['GET /books/poison HTTP/1.1'] == 2
    gateway.runtime().tick()
    for target in harness.targets:
        state = gateway.runtime().health.standing(target.name).state
        assert state is not targets.TargetState.EJECTED
    assert isinstance(
        gateway.events[0],
        target_events.FingerprintQuarantined,
    )
    gateway.context.refusals.flush(10)
    assert daemon_events.RequestRefused('books', 'quarantined', 3, 10) in (
        gateway.events
    )


async def test_a_crash_of_a_suspected_target_counts_for_quarantine(harness):
    """Guards against a request that crashes three targets.

    A crash makes a target suspected for seconds. If another request crashes
    it then, after it answered others, that crash must count, or the request
    would run on two more targets before it is quarantined.
    """
    await harness.add_targets('ok', 'ok', 'ok', 'ok')
    gateway = await harness.add_gateway()
    await harness.send('GET', '/books/books/poison')
    runtime = gateway.runtime()
    runtime.tick()
    suspected = [
        target.name
        for target in harness.targets
        if runtime.health.standing(target.name).state
        is targets.TargetState.SUSPECT
    ]
    assert suspected
    # The same state as after an answer to another request.
    runtime.lost_connections.keep(frozenset())
    assert runtime.record_lost_connection(suspected[0])


@pytest.mark.parametrize('gap_s', [0.0, 0.9, 1.1, 4.0])
@pytest.mark.parametrize('method', ['GET', 'PUT'])
async def test_each_of_several_requests_crashes_two_targets_at_most(
    harness,
    method,
    gap_s,
):
    """Guards against a third crash, when an earlier crash hides the next."""
    await harness.add_targets('ok', 'ok', 'ok', 'ok')
    clock = clocks.ManualClock(100.0)
    await harness.add_gateway(clock=clock)
    for name in ('a', 'b', 'c', 'd'):
        for number in range(5):
            await _send_poison(harness, method, name, number)
        clock.advance(gap_s)
    runs = harness.runs_by_line()
    assert len(runs) == 4
    assert max(runs.values()) <= 2, runs


async def _send_poison(harness, method, name, number):
    path = f'/books/books/poison-{name}'
    headers = {}
    if method == 'PUT':
        path = f'/books/postings/poison-{name}'
        key = f'{await harness.ticket()}.{name}{number}'
        headers = {'Idempotency-Key': key}
    await harness.send(method, path, headers=headers)


async def test_keys_of_one_caller_crash_two_targets_at_most(harness):
    await harness.add_targets('ok', 'ok', 'ok', 'ok')
    await harness.add_gateway()
    outcomes = []
    for number in range(5):
        headers = {'Idempotency-Key': f'{await harness.ticket()}.{number}'}
        answer, _ = await harness.send(
            'PUT',
            '/books/postings/poison',
            headers=headers,
        )
        outcomes.append(outcome_of(answer))
    assert outcomes[:2] == ['unknown', 'unknown']
    assert outcomes[2:] == ['not-run', 'not-run', 'not-run']
    assert harness.runs().total() == 2


async def test_an_outage_does_not_quarantine_a_popular_request(harness):
    await harness.add_targets('ok', 'ok', 'ok', 'ok')
    gateway = await harness.add_gateway()
    await harness.send('GET', '/books/books/popular')
    for target in harness.targets[:3]:
        target.behaviour = 'drop after running'
    for _ in range(6):
        await harness.send('GET', '/books/books/popular')
    assert not gateway.context.quarantine.quarantined()
    for target in harness.targets:
        target.behaviour = 'ok'
    answer, _ = await harness.send('GET', '/books/books/popular')
    assert answer.status == 200


async def test_a_full_queue_refuses_at_once(harness):
    target = await harness.add_target('hang')
    gateway = await harness.add_gateway(slots=1, queue_length=1)
    busy = [
        asyncio.ensure_future(harness.send('GET', f'/books/books/{number}'))
        for number in range(2)
    ]
    await until(lambda: len(gateway.runtime().queue) == 1)
    answer, content = await harness.send('GET', '/books/books/9')
    assert (answer.status, outcome_of(answer)) == (503, 'not-run')
    assert json.loads(content)['type'].endswith('queue-full')
    assert int(answer.headers['Retry-After']) >= 1
    target.released.set()
    assert {(await sent)[0].status for sent in busy} == {200}
    assert len(target.seen) == 2


async def test_an_answer_after_the_deadline_is_discarded(harness):
    target = await harness.add_target('hang')
    gateway = await harness.add_gateway()
    short_deadline = {'Sardinepier-Deadline-Ms': '1500'}
    late, _ = await harness.send(
        'GET', '/books/books/1', headers=short_deadline
    )
    assert (late.status, outcome_of(late)) == (504, 'unknown')
    await until(lambda: target.closed)
    target.behaviour = 'ok'
    target.content = b'for the second'
    _, content = await harness.send('GET', '/books/books/2')
    assert content == b'for the second'
    assert not gateway.runtime().slots.report()


@pytest.mark.parametrize('is_slow_first', [True, False])
async def test_the_connection_of_the_slower_attempt_is_closed(
    harness, is_slow_first
):
    await harness.add_targets('hang', 'ok')
    gateway = await harness.add_gateway()
    delay = gateway.runtime().hedge_delay('GET /hedged/{id}')
    for _ in range(100):
        delay.observe(5)
    if not is_slow_first:
        await harness.send('GET', '/books/hedged/0')
    for number in range(3):
        answer, content = await harness.send('GET', f'/books/hedged/{number}')
        assert (answer.status, content) == (200, harness.targets[1].content)
    slow = harness.targets[0]
    await until(lambda: slow.seen and slow.closed == slow.connections)
    assert not gateway.runtime().slots.report()


async def test_a_draining_target_gets_no_new_requests(harness):
    await harness.add_targets('draining', 'ok')
    await harness.add_gateway()
    for number in range(6):
        answer, _ = await harness.send('GET', f'/books/books/{number}')
        assert answer.status == 200
    assert len(harness.targets[0].seen) == 1


async def test_a_target_that_left_while_connecting_gets_nothing(
    harness,
    monkeypatch,
):
    """The target was selected before the connection was made."""
    await harness.add_targets('ok', 'ok')
    gateway = await harness.add_gateway()
    connect = connections.GuardedConnector._create_connection
    leaving = []

    async def connect_and_mark_leaving(self, request, *details):
        connection = await connect(self, request, *details)
        if not leaving:
            chosen = gateway.runtime().slots.report()
            leaving.extend(chosen)
            gateway.runtime().mark_leaving(leaving[0])
        return connection

    monkeypatch.setattr(
        connections.GuardedConnector,
        '_create_connection',
        connect_and_mark_leaving,
    )
    answer, _ = await harness.send('GET', '/books/books/1')
    assert answer.status == 200
    seen = {target.name: len(target.seen) for target in harness.targets}
    assert seen.pop(leaving[0]) == 0
    assert list(seen.values()) == [1]


async def test_a_request_keeps_the_settings_it_started_with(harness):
    old = await harness.add_target('hang')
    gateway = await harness.add_gateway(slots=1)
    holding = asyncio.ensure_future(harness.send('GET', '/books/books/1'))
    await until(lambda: old.seen)
    waiting = asyncio.ensure_future(harness.send('GET', '/books/books/2'))
    await until(lambda: len(gateway.runtime().queue))
    new = await harness.add_target('ok')
    gateway.configure(harness.service([new], answer_buffer_limit_bytes=1))
    fresh, _ = await harness.send('GET', '/books/books/3')
    assert fresh.status == 200
    # Its snapshot has only the old target, which is no longer configured.
    refused, content = await waiting
    assert outcome_of(refused) == 'not-run'
    assert json.loads(content)['type'].endswith('no-target')
    old.released.set()
    assert (await holding)[1] == old.content
    assert [seen.line.split()[1] for seen in new.seen] == ['/books/3']


async def test_a_service_without_targets_refuses_at_once(harness):
    await harness.add_gateway()
    answer, content = await harness.send('GET', '/books/books/1')
    assert (answer.status, outcome_of(answer)) == (503, 'not-run')
    assert json.loads(content)['type'].endswith('no-target')
    assert answer.headers['Retry-After'] == '1'


async def test_a_draining_daemon_serves_and_directs_callers_to_others(harness):
    target = await harness.add_target('hang')
    gateway = await harness.add_gateway()
    await harness.add_gateway()
    headers = {'Idempotency-Key': f'{await harness.ticket()}.1'}
    path = '/books/postings'
    first = asyncio.ensure_future(harness.send('POST', path, headers=headers))
    await until(lambda: target.seen)
    gateway.server.begin_draining()
    await _check_draining_addresses(harness)
    closing = asyncio.ensure_future(gateway.server.close(20))
    again = asyncio.ensure_future(
        harness.send('POST', path, at=1, headers=headers),
    )
    await asyncio.sleep(0.05)
    target.released.set()
    done, relayed, unfinished = await asyncio.gather(first, again, closing)
    assert (done[0].status, done[1]) == (200, target.content)
    assert done[0].headers['Connection'] == 'close'
    assert not unfinished
    assert outcome_of(relayed[0]) in {'completed', 'unknown'}
    assert list(target.ran.values()) == [1]


async def test_a_kept_connection_is_closed_while_others_are_served(harness):
    # Guards against requests on kept connections that arrive shortly before
    # the end of the exit and are cut off by it.
    target = await harness.add_target('hang')
    gateway = await harness.add_gateway()
    reader, writer = await asyncio.open_connection('127.0.0.1', gateway.port)
    writer.write(b'GET /v1/addresses?service=books HTTP/1.1\r\nHost: a\r\n\r\n')
    assert b' 200 ' in await reader.readline()
    serving = asyncio.ensure_future(harness.send('GET', '/books/books/1'))
    await until(lambda: target.seen)
    gateway.server.begin_draining()
    closing = asyncio.ensure_future(gateway.server.close(20))
    async with asyncio.timeout(10):
        await reader.read()
    assert not serving.done()
    target.released.set()
    answer, _ = await serving
    assert (answer.status, await closing) == (200, 0)
    writer.close()


@pytest.mark.parametrize('method', ['GET', 'POST'])
async def test_an_exit_cuts_no_request_that_comes_late(harness, method):
    # Guards against requests that are taken shortly before the end of the
    # grace time, passed on, and cut off without an answer.
    target = await harness.add_target('hang')
    gateway = await harness.add_gateway()
    path = '/books/books/1' if method == 'GET' else '/books/postings'
    headers = {'Idempotency-Key': f'{await harness.ticket()}.1'}
    now_s = gateway.clock.monotonic_s()
    gateway.server.begin_draining(now_s, now_s + 5)
    late, content = await harness.send(method, path, headers=headers)
    assert (late.status, outcome_of(late)) == (503, 'not-run')
    assert json.loads(content)['type'].endswith('exiting')
    assert late.headers['Connection'] == 'close'
    assert not target.seen


@pytest.mark.parametrize('method', ['GET', 'POST'])
async def test_a_request_that_an_exit_cuts_off_is_answered(harness, method):
    # Guards against connections that end without an answer at the end of the
    # grace time, though a target has their request.
    target = await harness.add_target('hang')
    gateway = await harness.add_gateway()
    path = '/books/books/1' if method == 'GET' else '/books/postings'
    headers = {'Idempotency-Key': f'{await harness.ticket()}.1'}
    sent = asyncio.ensure_future(harness.send(method, path, headers=headers))
    await until(lambda: target.seen)
    gateway.server.begin_draining()
    unfinished = await gateway.server.close(0.5)
    cut_off, content = await sent
    assert (cut_off.status, outcome_of(cut_off)) == (502, 'unknown')
    assert json.loads(content)['type'].endswith('cut-off-by-exit')
    assert unfinished == 1


@pytest.mark.parametrize('method', ['GET', 'POST'])
async def test_no_request_is_sent_that_the_exit_is_likely_to_cut_off(
    harness, method
):
    # Guards against requests that wait for a slot, are passed on shortly before
    # the exit, and are cut off by it.
    target = await harness.add_target('hang')
    gateway = await harness.add_gateway(slots=1)
    path = '/books/books/1' if method == 'GET' else '/books/postings'
    delay = gateway.runtime().hedge_delay(f'{method} {ROUTES[method]}')
    for _ in range(200):
        delay.observe(600)
    headers = {'Idempotency-Key': f'{await harness.ticket()}.1'}
    sent = asyncio.ensure_future(harness.send('GET', '/books/books/2'))
    await until(lambda: target.seen)
    waiting = asyncio.ensure_future(harness.send(method, path, headers=headers))
    await asyncio.sleep(0.1)
    now_s = gateway.clock.monotonic_s()
    gateway.server.begin_draining(now_s + 5, now_s + 1)
    refused, _ = await asyncio.wait_for(waiting, 1)
    assert (refused.status, outcome_of(refused)) == (503, 'not-run')
    target.released.set()
    assert (await sent)[0].status == 200
    assert len(target.seen) == 1


ROUTES = {'GET': '/books/{id}', 'POST': '/postings'}


async def test_a_request_that_ends_before_the_exit_is_served(harness):
    target = await harness.add_target()
    gateway = await harness.add_gateway()
    now_s = gateway.clock.monotonic_s()
    gateway.server.begin_draining(now_s, now_s + 5)
    headers = {'Sardinepier-Deadline-Ms': '3000'}
    answer, content = await harness.send(
        'GET', '/books/books/1', headers=headers
    )
    assert (answer.status, content) == (200, target.content)


async def _check_draining_addresses(harness):
    answer, content = await harness.send('GET', '/v1/addresses?service=books')
    ports = [address['port'] for address in json.loads(content)['addresses']]
    assert ports == [harness.gateways[1].port]
    assert answer.headers['Connection'] == 'close'
