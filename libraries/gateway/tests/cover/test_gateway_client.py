"""The client towards targets, below all policy."""

import asyncio
import socket

import pytest
import yarl

from sardinepier.gateway import client as clients
from sardinepier.gateway import errors

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


class Peer:
    """A listening socket whose connections the test drives by hand."""

    def __init__(self):
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.listener.setblocking(False)
        self.url = yarl.URL(
            'http://127.0.0.1:{0}/x?'.format(self.listener.getsockname()[1]),
        )
        self.taken = []

    async def answer_next(self, is_new=True):
        loop = asyncio.get_running_loop()
        if is_new:
            taken, _ = await loop.sock_accept(self.listener)
            taken.setblocking(False)
            self.taken.append(taken)
        await loop.sock_recv(self.taken[-1], 65536)
        await loop.sock_sendall(self.taken[-1], ANSWER)


@pytest.fixture
async def peer():
    made = Peer()
    yield made
    for one in (*made.taken, made.listener):
        one.close()


@pytest.fixture
async def client():
    made = clients.TargetClient()
    yield made
    await made.close()


async def fetch(client, peer, *, permit=bool, fresh=False):
    response = await client.open(
        'PUT',
        peer.url,
        [],
        b'',
        fresh=fresh,
        connect_timeout_s=5,
        permit=permit,
    )
    return await response.read()


async def exchange(client, peer, *, is_new=True, **more):
    answering = asyncio.ensure_future(peer.answer_next(is_new))
    async with asyncio.timeout(10):
        content = await fetch(client, peer, **more)
        await answering
    return content


@pytest.mark.parametrize('stray', [b'HTTP/1.1 200 OK\r\n', ANSWER, b''])
async def test_what_the_event_loop_has_not_read_yet_is_seen(
    client,
    peer,
    stray,
):
    assert await exchange(client, peer) == b'ok'
    if stray:
        peer.taken[0].send(stray)
    else:
        peer.taken[0].shutdown(socket.SHUT_WR)
    # Nothing is awaited in between: the bytes are in the kernel only.
    assert await exchange(client, peer) == b'ok'
    assert len(peer.taken) == 2


async def test_a_good_connection_is_kept_and_a_fresh_one_is_not(client, peer):
    await exchange(client, peer)
    await exchange(client, peer, is_new=False)
    await exchange(client, peer, fresh=True)
    await exchange(client, peer, fresh=True)
    assert len(peer.taken) == 3


async def test_permission_is_asked_right_before_the_first_byte(client, peer):
    def forbid():
        raise errors.ShedError('No', 'Never')

    with pytest.raises(errors.ShedError):
        await fetch(client, peer, permit=forbid)
    taken, _ = await asyncio.get_running_loop().sock_accept(peer.listener)
    peer.taken.append(taken)
    assert await asyncio.get_running_loop().sock_recv(taken, 10) == b''


async def test_a_lost_connection_is_told_from_one_that_never_was(client, peer):
    async def hang_up():
        await peer.answer_next()
        await asyncio.get_running_loop().sock_recv(peer.taken[0], 65536)
        peer.taken[0].close()

    hanging_up = asyncio.ensure_future(hang_up())
    await fetch(client, peer)
    with pytest.raises(errors.ConnectionLostError):
        await fetch(client, peer)
    await hanging_up
    peer.listener.close()
    with pytest.raises(errors.ConnectFailedError):
        await fetch(client, peer)


async def test_a_target_that_says_nothing_is_told_from_one_that_refuses(
    client,
):
    """The way to it may be lost; whoever refuses is there to do so."""
    with socket.socket() as silent:
        silent.bind(('127.0.0.1', 0))
        silent.listen(0)
        address = silent.getsockname()
        # The system ignores connections while the queue of new ones is full.
        waiting = [socket.socket() for _ in range(4)]
        for one in waiting:
            one.setblocking(False)
            one.connect_ex(address)
        with pytest.raises(errors.ConnectTimeoutError):
            await open_to(client, address[1])
        for one in waiting:
            one.close()
    with pytest.raises(errors.ConnectFailedError) as refused:
        await open_to(client, address[1])
    assert not isinstance(refused.value, errors.ConnectTimeoutError)


async def open_to(client, port):
    await client.open(
        'GET',
        yarl.URL(f'http://127.0.0.1:{port}/'),
        [],
        b'',
        fresh=True,
        connect_timeout_s=0.2,
        permit=lambda: None,
    )
