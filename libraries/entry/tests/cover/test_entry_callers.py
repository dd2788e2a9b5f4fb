"""Pipelining, disconnects and other behaviour of callers."""

import asyncio
import collections

import entry_support as support
import pytest
from sardinepier.entry import model

CHUNKED = {'Transfer-Encoding': 'chunked'}
LONG = {'Content-Length': '60000000'}
BRIEF = {support.NAMES.deadline_ms: '300'}
BUDGET_BYTES = 67_108_864
LONG_BODY = b''.join(number.to_bytes(4, 'big') for number in range(300_000))
CHUNK_BYTES = 50_000


async def test_answers_to_pipelined_requests_keep_their_order(entry):
    target = support.RawTarget('t1', ['gated', 'ok'])
    await entry.set_targets(target)
    reader, writer = await asyncio.open_connection(support.LOOPBACK, entry.port)
    attempt_ids = [f'id-{number}' for number in range(4)]
    for attempt_id in attempt_ids:
        writer.write(support.request(**{support.NAMES.attempt_id: attempt_id}))
    await support.wait_until(lambda: len(target.received) >= 3)
    target.gate.set()
    answers = [await support.read_answer(reader) for _ in attempt_ids]
    echoed = [headers[support.NAMES.attempt_id] for _, headers, _ in answers]
    assert echoed == attempt_ids
    writer.close()


async def test_pipelined_idempotent_requests_run_concurrently(entry):
    target = support.RawTarget('t1', ['gated'])
    await entry.set_targets(target)
    reader, writer = await asyncio.open_connection(support.LOOPBACK, entry.port)
    for number in range(3):
        writer.write(support.request(**{support.NAMES.attempt_id: str(number)}))
    # None has been answered yet.
    await support.wait_until(lambda: len(target.received) >= 3)
    target.gate.set()
    for _ in range(3):
        status, _, _ = await support.read_answer(reader)
        assert status == 200
    writer.close()


async def test_a_pipelined_non_idempotent_request_waits_for_earlier_ones(entry):
    target = support.RawTarget('t1', ['gated', 'ok'])
    await entry.set_targets(target)
    reader, writer = await asyncio.open_connection(support.LOOPBACK, entry.port)
    writer.write(support.request())
    writer.write(support.request('/once/1', 'POST'))
    await support.wait_until(lambda: target.received)
    await asyncio.sleep(0.2)
    assert len(target.received) == 1
    target.gate.set()
    await support.read_answer(reader)
    await support.read_answer(reader)
    assert len(target.received) == 2
    writer.close()


async def test_a_disconnect_cancels_an_idempotent_attempt(entry):
    target = support.RawTarget('t1', ['hang'])
    await entry.set_targets(target)
    _, writer = await asyncio.open_connection(support.LOOPBACK, entry.port)
    writer.write(support.request('/books/1'))
    await support.wait_until(lambda: target.run_count)
    writer.close()
    await support.wait_until(lambda: target.disconnects_while_running)


async def test_a_disconnect_does_not_cancel_a_non_idempotent_attempt(entry):
    target = support.RawTarget('t1', ['hang'])
    await entry.set_targets(target)
    _, writer = await asyncio.open_connection(support.LOOPBACK, entry.port)
    writer.write(support.request('/once/1'))
    await support.wait_until(lambda: target.run_count)
    writer.close()
    await asyncio.sleep(0.3)
    assert (target.run_count, target.disconnects_while_running) == (1, 0)


async def test_a_queued_request_is_dropped_if_its_caller_disconnects(entry):
    target = support.RawTarget('t1', ['gated'])
    await entry.set_targets(target)
    writers = []
    for _ in range(4):
        _, writer = await asyncio.open_connection(support.LOOPBACK, entry.port)
        writer.write(support.request('/once/1', 'POST'))
        writers.append(writer)
    # The three slots of the target are used; the fourth request is queued.
    await support.wait_until(lambda: target.run_count == 3)
    await support.wait_until(lambda: entry.shared.activity.in_flight == 4)
    for writer in writers:
        writer.close()
    await support.wait_until(lambda: entry.shared.activity.in_flight == 0)
    target.gate.set()
    await asyncio.sleep(0.3)
    assert target.run_count == 3


async def test_an_unknown_route_is_not_found(entry):
    await entry.set_targets(support.RawTarget('t1'))
    status, _, _ = await entry.send('/other/1')
    assert status == 404


async def test_a_daemon_without_a_configuration_asks_to_retry_later(entry):
    entry.shared.services._table = None
    status, headers, _ = await entry.send()
    assert status == 503
    assert 'Retry-After' in headers


async def test_a_body_above_the_bound_is_refused(entry):
    await entry.set_targets(support.RawTarget('t1'))
    entry.shared.services.offer_configuration(
        support.configuration(2, bounds=model.CallerBounds(body_bytes=10)),
    )
    status, _, _ = await entry.send('/once/1', 'POST', b'x' * 11)
    assert (status, entry.run_count) == (413, 0)


async def test_a_draining_daemon_serves_and_asks_to_close(entry):
    await entry.set_targets(support.RawTarget('t1'))
    entry.shared.activity.is_draining = True
    status, headers, _ = await entry.send()
    assert status == 200
    assert headers['Connection'] == 'close'


async def test_draining_answers_pipelined_requests_that_were_started(entry):
    # Guards against a response that closes the connection before the answers
    # to requests behind it that targets already run.
    target = support.RawTarget('t1', ['gated'])
    await entry.set_targets(target)
    reader, writer = await asyncio.open_connection(support.LOOPBACK, entry.port)
    for number in range(3):
        writer.write(support.request(**{support.NAMES.attempt_id: str(number)}))
    await support.wait_until(lambda: len(target.received) == 3)
    entry.shared.activity.begin_draining()
    target.gate.set()
    answers = [await support.read_answer(reader) for _ in range(3)]
    assert [status for status, _, _ in answers] == [200, 200, 200]
    assert answers[-1][1]['Connection'] == 'close'
    assert await reader.read() == b''
    writer.close()


async def test_draining_starts_no_further_pipelined_requests(entry):
    # Guards against callers that keep a connection open by pipelining.
    target = support.RawTarget('t1', ['gated', 'ok'])
    await entry.set_targets(target)
    reader, writer = await asyncio.open_connection(support.LOOPBACK, entry.port)
    writer.write(support.request())
    await support.wait_until(lambda: target.received)
    entry.shared.activity.begin_draining()
    writer.write(support.request(**{support.NAMES.attempt_id: 'id-2'}))
    await asyncio.sleep(0.1)
    target.gate.set()
    _, headers, _ = await support.read_answer(reader)
    assert headers['Connection'] == 'close'
    assert await reader.read() == b''
    assert len(target.received) == 1
    writer.close()


async def test_a_chunked_body_is_forwarded_whole(entry):
    target = support.RawTarget('t1')
    await entry.set_targets(target)
    reader, writer = await asyncio.open_connection(support.LOOPBACK, entry.port)
    writer.write(support.request('/once/1', 'POST', **CHUNKED))
    writer.write(b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n')
    status, _, _ = await support.read_answer(reader)
    assert status == 200
    assert target.received[0][2] == b'abcde'
    writer.close()


@pytest.mark.parametrize('is_chunked', [True, False])
async def test_a_long_body_is_forwarded_unchanged(entry, is_chunked):
    entry.shared.services.offer_configuration(
        support.configuration(
            2, bounds=model.CallerBounds(body_bytes=len(LONG_BODY))
        ),
    )
    target = support.RawTarget('t1')
    await entry.set_targets(target)
    reader, writer = await asyncio.open_connection(support.LOOPBACK, entry.port)
    if is_chunked:
        writer.write(support.request('/once/1', 'POST', **CHUNKED))
        for start in range(0, len(LONG_BODY), CHUNK_BYTES):
            part = LONG_BODY[start : start + CHUNK_BYTES]
            writer.write(b'%x\r\n%b\r\n' % (len(part), part))
        writer.write(b'0\r\n\r\n')
    else:
        writer.write(support.request('/once/1', 'POST', LONG_BODY))
    status, _, _ = await support.read_answer(reader)
    assert status == 200
    assert target.received[0][2] == LONG_BODY
    assert entry.shared.body_budget.held_bytes == 0
    writer.close()


async def test_slow_uploads_of_long_bodies_keep_nobody_waiting(entry):
    # Guards against memory that is reserved by stated lengths.
    await entry.set_targets(support.RawTarget('t1'))
    entry.shared.services.offer_configuration(
        support.configuration(
            2, bounds=model.CallerBounds(body_bytes=60_000_000)
        ),
    )
    writers = []
    for _ in range(3):
        _, writer = await asyncio.open_connection(support.LOOPBACK, entry.port)
        writer.write(support.request('/once/1', 'POST', **LONG))
        writers.append(writer)
    await support.wait_until(lambda: entry.shared.activity.in_flight == 3)
    status, _, _ = await entry.send('/once/2', 'POST', bytes(1_000_000))
    assert status == 200
    assert entry.shared.body_budget.held_bytes < 1_000_000
    for writer in writers:
        writer.close()
    await support.wait_until(lambda: not entry.shared.body_budget.held_bytes)


async def test_a_body_without_memory_is_refused_and_never_runs(entry):
    target = support.RawTarget('t1')
    await entry.set_targets(target)
    budget = entry.shared.body_budget
    held = budget.reservation(BUDGET_BYTES)
    await held.grow(BUDGET_BYTES)
    status, headers, _ = await entry.send('/once/1', 'POST', b'xy', **BRIEF)
    assert (status, target.received) == (503, [])
    assert float(headers['Retry-After']) > 0
    held.release()
    status, _, _ = await entry.send('/once/1', 'POST', b'xy')
    assert (status, budget.held_bytes) == (200, 0)


async def test_a_request_that_crashes_targets_is_quarantined(entry):
    targets = [
        support.RawTarget(f't{number}', ['reset']) for number in range(5)
    ]
    await entry.set_targets(*targets)
    statuses = [(await entry.send('/once/7', 'POST'))[0] for _ in range(6)]
    assert entry.run_count <= 3
    assert statuses[-1] == 503


async def test_each_of_several_requests_crashes_two_targets_at_most(entry):
    """Guards against a third crashed target.

    The crash by an earlier request must not hide the one by the next request.
    """
    targets = [
        support.RawTarget(f't{number}', ['reset']) for number in range(6)
    ]
    await entry.set_targets(*targets)
    for path_name in ('a', 'b', 'c', 'd'):
        for _ in range(6):
            await entry.send(f'/books/{path_name}', 'POST', b'deadly')
    lines = collections.Counter(
        line for target in targets for line, _, _ in target.received
    )
    assert len(lines) == 4
    assert max(lines.values()) <= 2, lines


async def test_a_request_does_not_return_to_a_target_that_it_crashed(entry):
    """Guards against a third crash: of one target twice, and of another one."""
    deadly = support.RawTarget('t1', ['reset', 'ok'])
    await entry.set_targets(deadly)
    await entry.send('/once/7', 'POST')
    healthy = support.RawTarget('t2')
    await entry.set_targets(deadly, healthy)
    records = entry.shared.services.pool(support.SERVICE).targets
    now_s = entry.shared.clock.monotonic_s()
    for _ in range(4):
        records.find('t1').estimate.answered(now_s)
        records.find('t2').estimate.failed(now_s, is_early=False)
    status, _, _ = await entry.send('/once/7', 'POST')
    assert (status, deadly.run_count, healthy.run_count) == (200, 1, 1)


async def test_a_failing_answer_does_not_clear_a_request_of_suspicion(entry):
    """Guards against a crashing request that meets a target which fails.

    That target answers with an error, and runs nothing.
    """
    crashing = support.RawTarget('t1', ['reset'])
    await entry.set_targets(crashing)
    await entry.send('/once/7', 'POST')
    failing = support.RawTarget('t2', ['fail'])
    await entry.set_targets(failing)
    await entry.send('/once/7', 'POST')
    other = support.RawTarget('t3', ['reset'])
    await entry.set_targets(other)
    await entry.send('/once/7', 'POST')
    status, _, _ = await entry.send('/once/7', 'POST')
    assert (status, failing.run_count, other.run_count) == (503, 1, 1)


async def test_a_suspected_request_is_not_hedged(entry):
    """Guards against a trial that takes two targets at once.

    The first target is slow to crash, so that a hedge would reach the second.
    """
    await entry.set_targets(support.RawTarget('t0', ['reset']))
    await entry.send('/books/1', 'POST', b'deadly')
    targets = [support.RawTarget('t1'), support.RawTarget('t2')]
    await entry.set_targets(*targets)
    for _ in range(120):
        await entry.send()
    ran_before = entry.run_count
    for target in targets:
        target.behaviours = ['gated']
    request = asyncio.ensure_future(
        entry.send('/books/1', 'POST', b'deadly'),
    )
    await support.wait_until(lambda: entry.run_count > ran_before)
    await asyncio.sleep(1.0)
    assert entry.run_count == ran_before + 1
    for target in targets:
        target.gate.set()
    assert (await request)[0] == 200
