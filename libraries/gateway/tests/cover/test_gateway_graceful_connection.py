"""When a connection counts as idle.

``GracefulConnection`` reads attributes of aiohttp's ``RequestHandler`` that are not
public (``_messages``, ``_waiter`` and ``_request_count`` of aiohttp 3.14). These tests
fail if an upgrade gives them another meaning.
"""

import asyncio

import pytest
from aiohttp import web_response

from sardinepier.gateway import graceful_connection

REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
WITH_BODY = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n'


class Server:
    """A server whose answers wait for ``gate``."""

    def __init__(self):
        self.gate = asyncio.Event()
        self.begun = 0
        self.server = graceful_connection.GracefulServer(self.handle)

    def __call__(self):
        return graceful_connection.GracefulConnection(
            self.server, loop=asyncio.get_running_loop(), access_log=None
        )

    async def handle(self, request):
        self.begun += 1
        await request.read()
        await self.gate.wait()
        return web_response.Response(text='ok')

    async def connect(self):
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        await until(lambda: self.server.connections)
        return self.server.connections[0], reader, writer


async def until(condition):
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.001)


@pytest.fixture
async def server():
    started = Server()
    listener = await asyncio.get_running_loop().create_server(
        started, '127.0.0.1', 0
    )
    started.port = listener.sockets[0].getsockname()[1]
    yield started
    listener.close()
    await started.server.shutdown(0)


async def test_a_connection_without_a_request_is_idle(server):
    connection, _, writer = await server.connect()
    assert connection.is_idle()
    writer.close()


async def exchange(server, connection, reader, writer):
    """Send a request and check the connection before and after its answer."""
    expected = server.begun + 1
    writer.write(REQUEST)
    await until(lambda: server.begun == expected)
    assert not connection.is_idle()
    server.gate.set()
    await reader.readuntil(b'ok')
    await until(connection.is_idle)
    server.gate.clear()


async def test_a_connection_is_idle_between_requests(server):
    connection, reader, writer = await server.connect()
    await exchange(server, connection, reader, writer)
    await exchange(server, connection, reader, writer)
    writer.close()


async def test_a_connection_with_a_pipelined_request_is_not_idle(server):
    connection, reader, writer = await server.connect()
    writer.write(REQUEST + REQUEST)
    await until(lambda: server.begun == 1)
    assert not connection.is_idle()
    server.gate.set()
    for _ in range(2):
        await reader.readuntil(b'ok')
    await until(connection.is_idle)
    writer.close()


async def test_a_connection_whose_request_is_being_read_is_not_idle(server):
    connection, reader, writer = await server.connect()
    server.gate.set()
    writer.write(WITH_BODY)
    await until(lambda: server.begun)
    assert not connection.is_idle()
    writer.write(b'xy')
    await reader.readuntil(b'ok')
    await until(connection.is_idle)
    writer.close()


async def test_a_drained_connection_closes_with_its_last_answer(server):
    connection, reader, writer = await server.connect()
    writer.write(REQUEST)
    await until(lambda: server.begun)
    closed = connection.drain()
    server.gate.set()
    await reader.readuntil(b'ok')
    assert await reader.read() == b''
    writer.close()
    await asyncio.wait_for(closed, 20)
