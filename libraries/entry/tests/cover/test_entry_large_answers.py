"""Streaming of large answers, their interruption, and the buffer budget."""

import asyncio
import gc

import entry_support as support
import pytest
from sardinepier.gateway import buffer_budget

LARGE = bytes(range(256)) * 20_000
"""5 MB: more than the limit of a buffered answer."""

SMALL = LARGE[:50_000]


class LargeTarget:
    """A target that answers with ``body``.

    ``framing`` is ``length``, ``chunked`` or ``unframed``, which ends with the
    connection. After ``sent_length`` bytes, if these are fewer than the body,
    the target resets the connection. With the framing ``silent``, which states
    the length, it sends nothing more instead.
    """

    def __init__(self, body=LARGE, framing='length', sent_length=None):
        self.name = 'large'
        self.body = body
        self.framing = framing
        self.sent_length = len(body) if sent_length is None else sent_length
        self.run_count = 0
        self.sent = 0
        self.closed_connections = 0
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
            self.closed_connections += 1
            writer.close()

    async def _answer(self, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        self.run_count += 1
        lines = dict(
            line.split(': ', 1) for line in head.decode().split('\r\n')[1:-2]
        )
        echo = lines[support.NAMES.attempt_id]
        writer.write(self._head(echo))
        for start in range(0, self.sent_length, 100_000):
            chunk = self.body[start : min(start + 100_000, self.sent_length)]
            if self.framing == 'chunked':
                chunk = b'%x\r\n%b\r\n' % (len(chunk), chunk)
            writer.write(chunk)
            await writer.drain()
            self.sent = start + 100_000
        if self.sent_length < len(self.body) and self.framing == 'silent':
            await reader.read(1)
        elif self.sent_length < len(self.body):
            # A reset discards the bytes that the peer has not read yet.
            await asyncio.sleep(0.3)
            support.linger_off(writer)
        elif self.framing == 'chunked':
            writer.write(b'0\r\n\r\n')
        await writer.drain()

    def _head(self, echo):
        framing_header = f'Content-Length: {len(self.body)}'
        if self.framing == 'chunked':
            framing_header = 'Transfer-Encoding: chunked'
        if self.framing == 'unframed':
            framing_header = 'Connection: close'
        lines = (
            'HTTP/1.1 200 OK',
            f'{support.NAMES.attempt_id}: {echo}',
            f'{support.NAMES.signature}: proof-of-{echo}',
            framing_header,
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
    answer_headers = dict(line.split(': ', 1) for line in head[1:-2])
    return reader, writer, answer_headers


async def read_body(reader, headers):
    """Return the body; raise ``EOFError`` or ``OSError`` if it is interrupted."""
    length = headers.get('Content-Length')
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


@pytest.mark.parametrize('framing', ['length', 'chunked', 'unframed'])
async def test_a_large_answer_arrives_whole(entry, framing):
    target = LargeTarget(framing=framing)
    await entry.set_targets(target)
    reader, writer, headers = await open_to(entry)
    assert headers[support.NAMES.signature] == 'proof-of-id-1'
    assert await read_body(reader, headers) == LARGE
    writer.close()
    await support.wait_until(lambda: not in_flight(entry))


@pytest.mark.parametrize('framing', ['length', 'chunked', 'unframed'])
@pytest.mark.parametrize('path', ['/books/1', '/once/1'])
async def test_an_interrupted_answer_never_looks_whole(
    entry,
    framing,
    path,
):
    target = LargeTarget(framing=framing, sent_length=3_000_000)
    await entry.set_targets(target)
    reader, writer, headers = await open_to(entry, path)
    assert headers[support.NAMES.signature] == 'proof-of-id-1'
    with pytest.raises((EOFError, OSError)):
        await read_body(reader, headers)
    writer.close()
    assert target.run_count == 1
    await support.wait_until(lambda: not in_flight(entry))


async def test_a_target_that_stalls_midway_is_disconnected(entry):
    target = LargeTarget(framing='silent', sent_length=3_000_000)
    await entry.set_targets(target)
    limited = {support.NAMES.deadline_ms: '400'}
    reader, writer, headers = await open_to(entry, **limited)
    with pytest.raises((EOFError, OSError)):
        await read_body(reader, headers)
    writer.close()
    await support.wait_until(lambda: target.closed_connections)
    await support.wait_until(lambda: not in_flight(entry))


async def test_a_disconnect_of_the_caller_ends_the_answer(entry):
    target = LargeTarget()
    await entry.set_targets(target)
    reader, writer, _ = await open_to(entry)
    await reader.readexactly(1000)
    writer.transport.abort()
    await support.wait_until(lambda: target.closed_connections)
    await support.wait_until(lambda: not in_flight(entry))


async def test_a_caller_that_reads_slowly_slows_the_target(entry):
    target = LargeTarget(body=LARGE * 8)
    await entry.set_targets(target)
    _, writer, _ = await open_to(entry)
    await asyncio.sleep(0.5)
    sent = target.sent
    assert sent < len(target.body)
    await asyncio.sleep(0.3)
    assert target.sent == sent
    assert in_flight(entry) == 1
    writer.transport.abort()
    await support.wait_until(lambda: not in_flight(entry))


async def test_a_large_answer_interrupted_at_its_beginning_is_retried(entry):
    """Nothing was sent to the caller while the answer was below the limit."""
    broken = LargeTarget(sent_length=500_000)
    healthy = support.RawTarget('good')
    await entry.set_targets(broken, healthy)
    pool = entry.shared.services.pool(support.SERVICE)
    pool.targets.find('good').estimate.failed(
        entry.shared.clock.monotonic_s(),
        is_early=False,
    )
    status, _, body = await entry.send()
    assert (status, body, broken.run_count) == (200, support.BODY, 1)


async def test_buffered_answers_are_counted_until_they_are_freed(entry):
    target = LargeTarget(body=SMALL)
    await entry.set_targets(target)
    budget = entry.shared.buffer_budget
    status, _, body = await entry.send()
    assert (status, body) == (200, SMALL)
    await support.wait_until(
        lambda: gc.collect() >= 0 and not budget.buffered_bytes
    )


async def test_buffered_bytes_of_many_slow_callers_are_bounded(entry):
    """200 callers that don't read 0.5 MB each: 100 MB without the budget."""
    target = LargeTarget(body=LARGE[:500_000])
    await entry.set_targets(target)
    pool = entry.shared.services.pool(support.SERVICE)
    pool.targets.find('large').listed = support.listed(
        'large',
        target.port,
        slots=200,
    )
    opened = [await open_to(entry) for _ in range(200)]
    buffered_bytes = entry.shared.buffer_budget.buffered_bytes
    # An answer counts until its caller has read it.
    assert buffered_bytes > buffer_budget.DEFAULT_BUDGET_BYTES / 4
    connection_buffers_bytes = 200 * (
        buffer_budget.MIN_BUFFERED_ANSWER_BYTES + 2**16
    )
    assert (
        buffered_bytes
        < buffer_budget.DEFAULT_BUDGET_BYTES + connection_buffers_bytes
    )
    for _, writer, _ in opened:
        writer.transport.abort()
    await support.wait_until(lambda: not in_flight(entry))


PART_BYTES = 1000


class FakeAnswer:
    """Any object that can be referenced weakly, instead of an answer."""


def buffered_whole(budget):
    """Return an answer that is as long as may be buffered, and its length."""
    held = budget.hold()
    answer = FakeAnswer()
    held.release_with(answer)
    length_bytes = 0
    while held.grow(PART_BYTES):
        length_bytes += PART_BYTES
    return answer, length_bytes


def test_the_limit_of_an_answer_shrinks_as_the_budget_is_used():
    budget = buffer_budget.BufferBudget(4_000_000)
    answers, lengths = zip(*(buffered_whole(budget) for _ in range(20)))
    assert list(lengths) == sorted(lengths, reverse=True)
    assert lengths[0] == 500_000
    least_bytes = buffer_budget.MIN_BUFFERED_ANSWER_BYTES
    assert lengths[-1] == least_bytes - least_bytes % PART_BYTES
    del answers
    gc.collect()
    assert buffered_whole(budget)[1] == lengths[0]


def test_an_answer_counts_while_it_is_read():
    # Guards against half-read answers that take memory without a limit.
    budget = buffer_budget.BufferBudget(4_000_000)
    reading = [budget.hold() for _ in range(200)]
    whole = [held for held in reading if all_grow(held, 1_000_000)]
    assert not whole
    least_bytes = len(reading) * (
        buffer_budget.MIN_BUFFERED_ANSWER_BYTES + PART_BYTES
    )
    assert budget.buffered_bytes <= 4_000_000 + least_bytes
    for held in reading:
        held.release()
        held.release()
    assert not budget.buffered_bytes


def all_grow(held, size_bytes):
    """Return whether that many bytes could be buffered."""
    return all(held.grow(PART_BYTES) for _ in range(0, size_bytes, PART_BYTES))


def test_no_answer_is_buffered_beyond_its_own_limit():
    budget = buffer_budget.BufferBudget(10**12)
    _, length_bytes = buffered_whole(budget)
    most_bytes = buffer_budget.MAX_BUFFERED_ANSWER_BYTES
    assert most_bytes - PART_BYTES < length_bytes <= most_bytes
