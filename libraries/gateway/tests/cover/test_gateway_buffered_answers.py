"""The memory for answers to slow callers is bounded."""

import asyncio
import gc

from sardinepier.gateway import buffer_budget

CALLERS = 100
LENGTH_BYTES = 1_000_000


async def open_without_reading(gateway):
    reader, writer = await asyncio.open_connection(
        '127.0.0.1', gateway.port, limit=2**16
    )
    writer.write(b'GET /books/books/1 HTTP/1.1\r\nHost: a\r\n\r\n')
    await reader.readuntil(b'\r\n\r\n')
    return writer


async def freed(budget):
    while gc.collect() >= 0 and budget.buffered_bytes:
        await asyncio.sleep(0.01)


async def test_an_answer_counts_until_its_caller_has_read_it(harness):
    target = await harness.add_target()
    gateway = await harness.add_gateway()
    answer, content = await harness.send('GET', '/books/books/1')
    assert (answer.status, content) == (200, target.content)
    await freed(gateway.context.buffer_budget)


async def test_answers_to_slow_callers_take_bounded_memory(harness):
    # Guards against a limit of each answer that bounds no number of them.
    target = await harness.add_target()
    target.content = bytes(LENGTH_BYTES)
    gateway = await harness.add_gateway(
        answer_buffer_limit_bytes=10 * LENGTH_BYTES,
        slots=CALLERS,
        connections_per_target=CALLERS,
    )
    writers = [await open_without_reading(gateway) for _ in range(CALLERS)]
    budget = gateway.context.buffer_budget
    assert budget.buffered_bytes > buffer_budget.DEFAULT_BUDGET_BYTES / 4
    connections_bytes = CALLERS * (
        buffer_budget.MIN_BUFFERED_ANSWER_BYTES + 2**18
    )
    assert (
        budget.buffered_bytes
        < buffer_budget.DEFAULT_BUDGET_BYTES + connections_bytes
    )
    for writer in writers:
        writer.transport.abort()
    await freed(budget)
