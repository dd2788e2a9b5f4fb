"""The relay cuts one direction or one source, and restores links."""

import asyncio
import contextlib

import pytest

from sardinepier.workbench.faults import links, relay

DROP = links.LinkMode.DROP
PASS = links.LinkMode.PASS


@contextlib.asynccontextmanager
async def echo_behind_relay():
    received = asyncio.Queue()

    async def serve(reader, writer):
        with contextlib.suppress(OSError):
            while line := await reader.readline():
                received.put_nowait(line)
                writer.write(line)
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    tested_relay = relay.Relay()
    relay_port = await tested_relay.listen(
        links.ListenerPlan('t1', '127.0.0.1', port)
    )
    yield tested_relay, relay_port, received
    await tested_relay.stop()
    server.close()


async def connect(port, source_ip='127.0.0.1'):
    return await asyncio.open_connection(
        '127.0.0.1', port, local_addr=(source_ip, 0)
    )


async def is_answered(reader, writer):
    writer.write(b'hello\n')
    try:
        return await asyncio.wait_for(reader.readline(), 0.3) == b'hello\n'
    except (TimeoutError, ConnectionError):
        return False


@pytest.mark.parametrize(
    ('direction', 'is_received'),
    [
        (links.Direction.FORWARD, False),
        (links.Direction.BACKWARD, True),
        (links.Direction.BOTH, False),
    ],
)
async def test_cut_in_one_direction_leaves_the_other(direction, is_received):
    async with echo_behind_relay() as (tested_relay, port, received):
        stream = await connect(port)
        assert await is_answered(*stream)
        received.get_nowait()
        tested_relay.apply(links.LinkRule('t1', DROP, direction=direction))
        assert not await is_answered(*stream)
        assert received.empty() != is_received
        assert tested_relay.cut_connections == 1
        tested_relay.apply(links.LinkRule('t1', PASS))
        assert await stream[0].read() == b''
        assert await is_answered(*await connect(port))


async def test_cut_for_one_source_leaves_other_sources():
    async with echo_behind_relay() as (tested_relay, port, _):
        first = await connect(port, '127.0.1.1')
        second = await connect(port, '127.0.1.2')
        tested_relay.apply(links.LinkRule('t1', DROP, source_ip='127.0.1.1'))
        assert not await is_answered(*first)
        assert await is_answered(*second)


async def test_refusal_closes_present_and_new_connections():
    async with echo_behind_relay() as (tested_relay, port, _):
        stream = await connect(port)
        assert await is_answered(*stream)
        tested_relay.apply(links.LinkRule('t1', links.LinkMode.REFUSE))
        assert not await is_answered(*stream)
        assert not await is_answered(*await connect(port))
