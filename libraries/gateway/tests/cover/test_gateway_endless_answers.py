"""Targets whose answers never end, on the project's own path.

They send as fast as the daemon reads, until it closes the connection.
"""

import asyncio
import contextlib
import socket

import pytest

HEAD = 'HTTP/1.1 200 OK\r\n'
CHUNKED = f'{HEAD}Transfer-Encoding: chunked\r\n\r\n'
MAX_READ_BYTES = 16 * 2**20
"""More than the daemon and the buffers of both sockets may take."""

ENDLESS = {
    'noise': ('', '\x00\x01'),
    'status line': (HEAD[:-2], 'O'),
    'header': (f'{HEAD}X-Long: ', 'a'),
    'headers': (HEAD, 'X-Next: a\r\n'),
    'interim answers': ('', 'HTTP/1.1 100 Continue\r\n\r\n'),
    'size of a chunk': (CHUNKED, '0'),
    'extension of a chunk': (f'{CHUNKED}1;', 'a'),
    'trailers': (f'{CHUNKED}1\r\na\r\n0\r\n', 'X-Next: a\r\n'),
    'body without a length': (f'{HEAD}\r\n', 'a'),
}
"""Endless bytes that are no answer: their beginning, and what follows."""


async def endless(writer, beginning, more):
    """Send until the connection is closed; return how many bytes."""
    sent_bytes = 0
    piece = (more * (4096 // len(more) + 1)).encode('latin-1')
    writer.write(beginning.encode('latin-1'))
    with contextlib.suppress(ConnectionError):
        while not writer.is_closing():
            writer.write(piece)
            await writer.drain()
            sent_bytes += len(piece)
    return sent_bytes


async def serve_endless(target, beginning, more):
    """Let a target answer so; return what it has sent at the end."""
    sent = asyncio.get_running_loop().create_future()

    async def respond(seen, reader, writer):
        sent_bytes = await endless(writer, beginning, more)
        if not sent.done():
            sent.set_result(sent_bytes)
        return False

    target._respond = respond
    return sent


@pytest.mark.parametrize('name', ENDLESS)
async def test_bytes_that_are_no_answer_end_the_attempt(harness, name):
    """Guards against memory that fills with what a target in trouble sends."""
    target = await harness.add_target()
    sent = await serve_endless(target, *ENDLESS[name])
    gateway = await harness.add_gateway()
    headers = {'Idempotency-Key': f'{await harness.ticket()}.1'}
    async with asyncio.timeout(10):
        answer, _ = await harness.send(
            'POST', '/books/postings', headers=headers
        )
        assert answer.status == 502
        assert await sent < MAX_READ_BYTES
    assert gateway.context.buffer_budget.buffered_bytes < MAX_READ_BYTES


async def test_an_endless_body_is_read_as_fast_as_its_caller_reads(harness):
    """Guards against memory that fills for a caller that does not read."""
    target = await harness.add_target()
    sent = await serve_endless(target, CHUNKED, '4\r\naaaa\r\n')
    gateway = await harness.add_gateway()
    with socket.create_connection(('127.0.0.1', gateway.port)) as caller:
        caller.sendall(
            b'GET /books/books/1 HTTP/1.1\r\nHost: a\r\n'
            b'Sardinepier-Deadline-Ms: 1500\r\n\r\n'
        )
        async with asyncio.timeout(10):
            assert await sent < MAX_READ_BYTES
