"""Answers that are passed on as they come, and what may go wrong midway."""

import asyncio
import gc

import entry_support as support
import pytest
from sardinepier.entry import buffer_budget

LARGE = bytes(range(256)) * 20_000
"""Five megabytes: more than any answer that is held whole."""

SMALL = LARGE[:50_000]


class LargeTarget:
    """Answers with ``body``, framed as ``manner`` says, and may break off."""

    def __init__(self, body=LARGE, manner='length', sends=None):
        self.name = 'large'
        self.body = body
        self.manner = manner
        self.sends = len(body) if sends is None else sends
        self.ran = 0
        self.sent = 0
        self.ended = 0
        self.server = None

    @property
    def port(self):
        return self.server.sockets[0].getsockname()[1]

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, support.LOOPBACK, 0
        )

    async def _serve(self, reader, writer):
        try:
            await self._answer(reader, writer)
        except ConnectionError:
            pass
        finally:
            self.ended += 1
            writer.close()

    async def _answer(self, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        self.ran += 1
        lines = dict(
            line.split(': ', 1) for line in head.decode().split('\r\n')[1:-2]
        )
        echo = lines[support.NAMES.attempt_id]
        writer.write(self._head(echo))
        for start in range(0, self.sends, 100_000):
            chunk = self.body[start : min(start + 100_000, self.sends)]
            if self.manner == 'chunked':
                chunk = b'%x\r\n%b\r\n' % (len(chunk), chunk)
            writer.write(chunk)
            await writer.drain()
            self.sent = start + 100_000
        if self.sends < len(self.body) and self.manner == 'silent':
            await reader.read(1)
        elif self.sends < len(self.body):
            # A reset takes along what the other side has not read yet.
            await asyncio.sleep(0.3)
            support.linger_off(writer)
        elif self.manner == 'chunked':
            writer.write(b'0\r\n\r\n')
        await writer.drain()

    def _head(self, echo):
        framing = f'Content-Length: {len(self.body)}'
        if self.manner == 'chunked':
            framing = 'Transfer-Encoding: chunked'
        if self.manner == 'unframed':
            framing = 'Connection: close'
        lines = (
            'HTTP/1.1 200 OK',
            f'{support.NAMES.attempt_id}: {echo}',
            f'{support.NAMES.signature}: proof-of-{echo}',
            framing,
        )
        return '\r\n'.join((*lines, '', '')).encode()


async def open_to(entry, path='/books/1', **headers):
    reader, writer = await asyncio.open_connection(
        support.LOOPBACK,
        entry.port,
        limit=2**16,
    )
    writer.write(support.request(path, **headers))
    head = (await reader.readuntil(b'\r\n\r\n')).decode().split('\r\n')
    names = dict(line.split(': ', 1) for line in head[1:-2])
    return reader, writer, names


async def read_body(reader, names):
    """Return the body; raise ``EOFError`` or an ``OSError`` if it broke."""
    length = names.get('Content-Length')
    if length is not None:
        return await reader.readexactly(int(length))
    body = b''
    while True:
        size = int(await reader.readuntil(b'\r\n'), 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return body
        body += chunk[:-2]


def in_flight(entry):
    pool = entry.shared.services.pool(support.SERVICE)
    now_s = entry.shared.clock.monotonic_s()
    return sum(record.in_flight(now_s) for record in pool.targets.records())


@pytest.mark.parametrize('manner', ['length', 'chunked', 'unframed'])
async def test_a_large_answer_arrives_whole(entry, manner):
    target = LargeTarget(manner=manner)
    await entry.use(target)
    reader, writer, names = await open_to(entry)
    assert names[support.NAMES.signature] == 'proof-of-id-1'
    assert await read_body(reader, names) == LARGE
    writer.close()
    await support.wait_until(lambda: not in_flight(entry))


@pytest.mark.parametrize('manner', ['length', 'chunked', 'unframed'])
@pytest.mark.parametrize('path', ['/books/1', '/once/1'])
async def test_an_answer_that_breaks_midway_never_looks_whole(
    entry,
    manner,
    path,
):
    target = LargeTarget(manner=manner, sends=3_000_000)
    await entry.use(target)
    reader, writer, names = await open_to(entry, path)
    assert names[support.NAMES.signature] == 'proof-of-id-1'
    with pytest.raises((EOFError, OSError)):
        await read_body(reader, names)
    writer.close()
    assert target.ran == 1
    await support.wait_until(lambda: not in_flight(entry))


async def test_a_target_that_falls_silent_midway_is_left(entry):
    target = LargeTarget(manner='silent', sends=3_000_000)
    await entry.use(target)
    limited = {support.NAMES.deadline_ms: '400'}
    reader, writer, names = await open_to(entry, **limited)
    with pytest.raises((EOFError, OSError)):
        await read_body(reader, names)
    writer.close()
    await support.wait_until(lambda: target.ended)
    await support.wait_until(lambda: not in_flight(entry))


async def test_a_caller_that_leaves_ends_the_answer(entry):
    target = LargeTarget()
    await entry.use(target)
    reader, writer, _ = await open_to(entry)
    await reader.readexactly(1000)
    writer.transport.abort()
    await support.wait_until(lambda: target.ended)
    await support.wait_until(lambda: not in_flight(entry))


async def test_a_caller_that_reads_slowly_slows_the_target(entry):
    target = LargeTarget(body=LARGE * 8)
    await entry.use(target)
    _, writer, _ = await open_to(entry)
    await asyncio.sleep(0.5)
    held = target.sent
    assert held < len(target.body)
    await asyncio.sleep(0.3)
    assert target.sent == held
    assert in_flight(entry) == 1
    writer.transport.abort()
    await support.wait_until(lambda: not in_flight(entry))


async def test_a_large_answer_broken_at_its_beginning_is_repeated(entry):
    """What is within the bound can still be replaced, unseen."""
    bad = LargeTarget(sends=500_000)
    good = support.RawTarget('good')
    await entry.use(bad, good)
    pool = entry.shared.services.pool(support.SERVICE)
    pool.targets.find('good').estimate.failed(
        entry.shared.clock.monotonic_s(),
        is_early=False,
    )
    status, _, body = await entry.ask()
    assert (status, body, bad.ran) == (200, support.BODY, 1)


async def test_answers_held_whole_are_counted_until_they_are_gone(entry):
    target = LargeTarget(body=SMALL)
    await entry.use(target)
    held = entry.shared.buffer_budget
    status, _, body = await entry.ask()
    assert (status, body) == (200, SMALL)
    await support.wait_until(
        lambda: gc.collect() >= 0 and not held.buffered_bytes
    )


async def test_many_slow_callers_leave_memory_bounded(entry):
    """200 callers of half a megabyte each that do not read: 100 MB, unbounded."""
    target = LargeTarget(body=LARGE[:500_000])
    await entry.use(target)
    pool = entry.shared.services.pool(support.SERVICE)
    pool.targets.find('large').listed = support.listed(
        'large',
        target.port,
        slots=200,
    )
    opened = [await open_to(entry) for _ in range(200)]
    held = entry.shared.buffer_budget.buffered_bytes
    # What a caller has not read yet counts, until it has.
    assert held > buffer_budget.DEFAULT_BUDGET_BYTES / 4
    least = 200 * (buffer_budget.MIN_BUFFERED_ANSWER_BYTES + 2**16)
    assert held < buffer_budget.DEFAULT_BUDGET_BYTES + least
    for _, writer, _ in opened:
        writer.transport.abort()
    await support.wait_until(lambda: not in_flight(entry))


class Holder:
    """Stands for an answer."""


def test_the_more_is_held_the_less_is_held_whole():
    held = buffer_budget.BufferBudget(4_000_000)
    bounds = [held.answer_limit_bytes()]
    holders = [Holder() for _ in range(20)]
    for holder in holders:
        held.charge(holder, bounds[-1])
        bounds.append(held.answer_limit_bytes())
    assert bounds == sorted(bounds, reverse=True)
    assert bounds[0] == 500_000
    assert bounds[-1] == buffer_budget.MIN_BUFFERED_ANSWER_BYTES
    del holder
    holders.clear()
    gc.collect()
    assert held.answer_limit_bytes() == bounds[0]


def test_no_answer_is_held_whole_beyond_its_own_bound():
    held = buffer_budget.BufferBudget(10**12)
    assert held.answer_limit_bytes() == buffer_budget.MAX_BUFFERED_ANSWER_BYTES
