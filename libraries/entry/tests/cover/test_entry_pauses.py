"""A daemon that was late for a moment blames no target for it."""

import asyncio
import time

import entry_support as support
import pytest

PAUSE_S = 0.45


@pytest.mark.parametrize(
    'pauses_s',
    [(PAUSE_S,), (PAUSE_S, 0.05, 0.05, 0.05, 0.05)],
    ids=['pause', 'busy'],
)
async def test_a_pause_while_a_connection_is_made_fails_no_request(
    entry, monkeypatch, pauses_s
):
    """Guards against 503 for a target that accepted the connection in time.

    A busy daemon is late again in each of the next iterations of its loop.
    """
    await entry.set_targets(support.RawTarget('t1'))
    loop = asyncio.get_running_loop()
    connect = loop.sock_connect

    def pause(number=0):
        time.sleep(pauses_s[number])
        if number + 1 < len(pauses_s):
            loop.call_soon(pause, number + 1)

    async def connect_during_a_pause(sock, address):
        if address[1] == entry.targets[0].port:
            loop.call_soon(pause)
        await connect(sock, address)
        # The end of a connection attempt is an event of a later iteration.
        await asyncio.sleep(0)

    monkeypatch.setattr(loop, 'sock_connect', connect_during_a_pause)
    assert (await entry.send())[0] == 200
