"""Callers' connections leave descriptors for targets, peers and the store."""

import asyncio
import os
import socket

import entry_support as support
import pytest
from sardinepier.entry import caller_server, model, pipeline

LIMIT = 32
BURST = 256


@pytest.fixture
async def limited(entry):
    """Yield the port of a server that allows ``LIMIT`` connections."""
    requests = pipeline.Pipeline(entry.shared)
    server = caller_server.HttpServer(
        requests.handle,
        model.CallerBounds,
        requests.start_pipelined,
        LIMIT,
    )
    yield await server.start(support.LOOPBACK, 0)
    await server.close(0.1)


async def connect(port):
    reader, writer = await asyncio.open_connection(support.LOOPBACK, port)
    # The server has seen the connection.
    await asyncio.sleep(0.01)
    return reader, writer


def count_descriptors():
    return len(os.listdir('/proc/self/fd'))


async def is_served(connection):
    reader, writer = connection
    writer.write(support.request())
    try:
        return (await support.read_answer(reader))[0] == 200
    except (ConnectionError, asyncio.IncompleteReadError):
        return False


async def test_idle_connections_make_room_the_longest_idle_first(
    entry, limited
):
    # Guards against callers whose idle connections use up the descriptors.
    await entry.set_targets(support.RawTarget('t1'))
    idle = [await connect(limited) for _ in range(LIMIT)]
    assert await is_served(idle[0])
    late = [await connect(limited) for _ in range(4)]
    assert all([await is_served(connection) for connection in late])
    assert await is_served(idle[0])
    assert await idle[1][0].read() == b''
    assert await is_served(idle[-1])


async def test_no_connection_with_a_request_is_closed_for_room(entry, limited):
    target = support.RawTarget('t1', ['gated'])
    await entry.set_targets(target)
    entry.shared.services.pool(support.SERVICE).targets.find(
        't1'
    ).listed = support.listed('t1', target.port, slots=LIMIT)
    busy = [await connect(limited) for _ in range(LIMIT)]
    served = [asyncio.create_task(is_served(connection)) for connection in busy]
    await support.wait_until(lambda: len(target.received) == LIMIT)
    refused, _ = await connect(limited)
    assert await refused.read() == b''
    target.gate.set()
    assert all(await asyncio.gather(*served))


async def test_a_burst_of_connections_is_accepted_in_small_batches(
    entry, limited
):
    # Guards against descriptors that run out when more callers connect at once
    # than the limit allows: connections close only in later iterations of the
    # event loop.
    await entry.set_targets(support.RawTarget('t1'))
    callers = [
        socket.create_connection((support.LOOPBACK, limited))
        for _ in range(BURST)
    ]
    callers_only = count_descriptors()
    most_accepted = 0
    for _ in range(BURST * 4):
        await asyncio.sleep(0)
        accepted = count_descriptors() - callers_only
        most_accepted = max(most_accepted, accepted)
    assert most_accepted <= LIMIT * 5 // 4
    assert accepted <= LIMIT
    assert await is_served(await connect(limited))
    for caller in callers:
        caller.close()
