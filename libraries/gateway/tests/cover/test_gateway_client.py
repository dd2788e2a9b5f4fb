"""The HTTP client for targets and its connections."""

import asyncio
import socket

import pytest
import yarl

from sardinepier.gateway import client as clients
from sardinepier.gateway import errors, request_body

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


class ManualTarget:
    """A listening socket whose connections the test controls directly."""

    def __init__(self):
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.listener.setblocking(False)
        self.url = yarl.URL(
            'http://127.0.0.1:{0}/x?'.format(self.listener.getsockname()[1]),
        )
        self.accepted = []

    async def answer_next(self, is_new=True):
        loop = asyncio.get_running_loop()
        if is_new:
            accepted, _ = await loop.sock_accept(self.listener)
            accepted.setblocking(False)
            self.accepted.append(accepted)
        await loop.sock_recv(self.accepted[-1], 65536)
        await loop.sock_sendall(self.accepted[-1], ANSWER)


@pytest.fixture
async def peer():
    target = ManualTarget()
    yield target
    for open_socket in (*target.accepted, target.listener):
        open_socket.close()


@pytest.fixture
async def client():
    target_client = clients.TargetClient()
    yield target_client
    await target_client.close()


async def fetch(client, peer, *, permit=bool, fresh=False):
    response = await client.open(
        'PUT',
        peer.url,
        [],
        request_body.EMPTY,
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
async def test_unread_data_or_a_close_makes_a_connection_stale(
    client,
    peer,
    stray,
):
    assert await exchange(client, peer) == b'ok'
    if stray:
        peer.accepted[0].send(stray)
    else:
        peer.accepted[0].shutdown(socket.SHUT_WR)
    # There is no await in between, so only the kernel has the bytes.
    assert await exchange(client, peer) == b'ok'
    assert len(peer.accepted) == 2


async def test_a_good_connection_is_kept_and_a_fresh_one_is_not(client, peer):
    await exchange(client, peer)
    await exchange(client, peer, is_new=False)
    await exchange(client, peer, fresh=True)
    await exchange(client, peer, fresh=True)
    assert len(peer.accepted) == 3


async def test_permission_is_requested_right_before_the_first_byte(
    client, peer
):
    def forbid():
        raise errors.ShedError('No', 'Never')

    with pytest.raises(errors.ShedError):
        await fetch(client, peer, permit=forbid)
    accepted, _ = await asyncio.get_running_loop().sock_accept(peer.listener)
    peer.accepted.append(accepted)
    assert await asyncio.get_running_loop().sock_recv(accepted, 10) == b''


async def test_a_lost_connection_differs_from_a_failed_connect(client, peer):
    async def hang_up():
        await peer.answer_next()
        await asyncio.get_running_loop().sock_recv(peer.accepted[0], 65536)
        peer.accepted[0].close()

    hanging_up = asyncio.ensure_future(hang_up())
    await fetch(client, peer)
    with pytest.raises(errors.ConnectionLostError):
        await fetch(client, peer)
    await hanging_up
    peer.listener.close()
    with pytest.raises(errors.ConnectFailedError):
        await fetch(client, peer)


async def test_a_connect_timeout_differs_from_a_refused_connect(
    client,
):
    """A timeout may be a network fault; a refusal proves the host is up."""
    with socket.socket() as silent:
        silent.bind(('127.0.0.1', 0))
        silent.listen(0)
        address = silent.getsockname()
        # The kernel ignores new connections while the accept queue is full.
        waiting = [socket.socket() for _ in range(4)]
        for pending in waiting:
            pending.setblocking(False)
            pending.connect_ex(address)
        with pytest.raises(errors.ConnectTimeoutError):
            await open_to(client, address[1])
        for pending in waiting:
            pending.close()
    with pytest.raises(errors.ConnectFailedError) as refused:
        await open_to(client, address[1])
    assert not isinstance(refused.value, errors.ConnectTimeoutError)


async def open_to(client, port):
    await client.open(
        'GET',
        yarl.URL(f'http://127.0.0.1:{port}/'),
        [],
        request_body.EMPTY,
        fresh=True,
        connect_timeout_s=0.2,
        permit=lambda: None,
    )
