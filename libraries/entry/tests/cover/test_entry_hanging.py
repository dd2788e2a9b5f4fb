"""Targets that hang instead of failing at once.

Some of the targets accept requests and don't answer for seconds, while their
connections and health checks are fine. Idempotent requests get their answer
from a hedge, a second attempt that runs at the same time as the first.
"""

import asyncio

import entry_support as support


def failing_probability(entry, name):
    pool = entry.shared.services.pool(support.SERVICE)
    record = pool.targets.find(name)
    return record.estimate.failing_probability(entry.shared.clock.monotonic_s())


def set_typical_latency(entry, typical_latency_s):
    """Set the latency that the service has had so far."""
    entry.shared.services.pool(
        support.SERVICE
    ).typical_latency_s = typical_latency_s


async def ask_with_a_hanging_target(entry):
    hanging = support.RawTarget('t1', ['hang'])
    healthy = support.RawTarget('t2')
    await entry.set_targets(hanging, healthy)
    pool = entry.shared.services.pool(support.SERVICE)
    pool.targets.find('t1').estimate.answered(entry.shared.clock.monotonic_s())
    set_typical_latency(entry, 0.05)
    return await entry.send()


async def test_the_slower_of_two_attempts_makes_its_target_suspected(entry):
    status, _, _ = await ask_with_a_hanging_target(entry)
    assert status == 200
    assert failing_probability(entry, 't1') > 0.5


async def test_the_next_requests_avoid_the_hanging_target(entry):
    await ask_with_a_hanging_target(entry)
    hanging, healthy = entry.targets
    for _ in range(3):
        assert (await entry.send())[0] == 200
    assert (hanging.run_count, healthy.run_count) == (1, 4)


async def test_an_early_disconnect_of_a_caller_is_no_failure(entry):
    target = support.RawTarget('t1', ['hang'])
    await entry.set_targets(target)
    set_typical_latency(entry, 5.0)
    initial_probability = failing_probability(entry, 't1')
    _, writer = await asyncio.open_connection(support.LOOPBACK, entry.port)
    writer.write(support.request())
    await support.wait_until(lambda: target.run_count)
    writer.close()
    await support.wait_until(lambda: target.disconnects_while_running)
    assert failing_probability(entry, 't1') <= initial_probability


async def send_slowly(entry, body_s, **headers):
    """Send a body whose second half comes after ``body_s``."""
    reader, writer = await asyncio.open_connection(support.LOOPBACK, entry.port)
    message = support.request('/once/1', 'POST', b'payload', **headers)
    writer.write(message[:-3])
    await asyncio.sleep(body_s)
    writer.write(message[-3:])
    reply = await support.read_answer(reader)
    writer.close()
    return reply


async def test_a_request_without_time_to_run_is_refused_as_not_run(entry):
    # Guards against requests that are sent with hardly any time left, and whose
    # callers can't tell whether they ran.
    target = support.RawTarget('t1', ['hang'])
    await entry.set_targets(target)
    set_typical_latency(entry, 2.0)
    deadline = {support.NAMES.deadline_ms: '2000'}
    status, headers, _ = await send_slowly(entry, 1.9, **deadline)
    assert status == 503
    assert float(headers['Retry-After']) >= 0
    assert not target.received


async def test_a_request_that_is_not_late_is_sent_however_slow_others_were(
    entry,
):
    # Guards against a slow spell after which nothing is sent any more.
    await entry.set_targets(support.RawTarget('t1'))
    set_typical_latency(entry, 100.0)
    deadline = {support.NAMES.deadline_ms: '2000'}
    assert (await entry.send('/once/1', 'POST', **deadline))[0] == 200
