"""A daemon that stood still for a moment blames no target for it."""

import asyncio
import time

import entry_support as support

PAUSE_S = 0.45


async def test_a_pause_while_a_connection_is_made_fails_no_request(
    entry, monkeypatch
):
    """Guards against 503 for a target that accepted the connection in time."""
    await entry.set_targets(support.RawTarget('t1'))
    loop = asyncio.get_running_loop()
    connect = loop.sock_connect

    async def connect_during_a_pause(sock, address):
        if address[1] == entry.targets[0].port:
            loop.call_soon(time.sleep, PAUSE_S)
        await connect(sock, address)

    monkeypatch.setattr(loop, 'sock_connect', connect_during_a_pause)
    assert (await entry.send())[0] == 200
