"""Targets that disappear without closing the connection, on real sockets."""

import asyncio
import ctypes
import socket
import struct

import pytest
import yarl
from sardinepier.gateway import client as clients
from sardinepier.gateway import errors, request_body

_SO_ATTACH_FILTER = 26
_DROP_ALL = struct.pack('HBBI', 6, 0, 0, 0)
"""A classic BPF program that accepts no byte of any segment."""


def vanish(sock):
    """Drop all segments to ``sock``, so that its machine seems to be gone."""
    program = ctypes.create_string_buffer(_DROP_ALL)
    fprog = struct.pack('HL', 1, ctypes.addressof(program))
    sock.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, fprog)


class Listener:
    """Accepts one connection, whose bytes the test reads or leaves."""

    def __init__(self):
        self.listening = socket.create_server(('127.0.0.1', 0))
        self.listening.setblocking(False)
        self.port = self.listening.getsockname()[1]
        self.accepted = None

    async def accept(self):
        loop = asyncio.get_running_loop()
        accepted = await loop.sock_accept(self.listening)
        self.accepted = accepted[0]
        self.accepted.setblocking(False)
        return self.accepted

    def close(self):
        self.listening.close()
        self.accepted.close()


@pytest.fixture
async def client():
    running = clients.TargetClient()
    yield running
    await running.close()


@pytest.fixture
def listener():
    started = Listener()
    yield started
    started.close()


def send(client, listener, body=b''):
    headers = [('Content-Length', str(len(body)))] if body else []
    return asyncio.ensure_future(
        client.open(
            'POST',
            yarl.URL(f'http://127.0.0.1:{listener.port}/'),
            headers,
            request_body.RequestBody((body,) if body else ()),
            fresh=False,
            connect_timeout_s=1.0,
            permit=lambda: None,
        ),
    )


@pytest.mark.parametrize('is_acknowledged', [True, False])
async def test_a_target_that_vanishes_ends_its_exchange(
    client, listener, is_acknowledged
):
    """Guards against requests held until their deadline by a dead machine."""
    exchange = send(client, listener)
    accepted = await listener.accept()
    if is_acknowledged:
        await asyncio.get_running_loop().sock_recv(accepted, 4096)
    vanish(accepted)
    with pytest.raises(errors.TargetGoneError):
        await asyncio.wait_for(exchange, 8.0)


async def test_a_silent_target_on_a_running_machine_is_not_gone(
    client, listener
):
    """Guards against cutting off slow targets and unread long bodies."""
    quiet = send(client, listener)
    await listener.accept()
    slow_reader = Listener()
    unread = send(client, slow_reader, bytes(8_000_000))
    await slow_reader.accept()
    done, _ = await asyncio.wait((quiet, unread), timeout=7.0)
    for exchange in (quiet, unread):
        exchange.cancel()
    slow_reader.close()
    assert not done


SMALL_BUFFER_BYTES = 4096
LENGTHS = [24_000, 300_000, 8_000_000]
GONE_S = 5.0
"""How long a peer may answer nothing before it counts as gone."""

UNCAPPED_GONE_S = 30.0
"""The same where the kernel probes a closed window less and less often."""

TCP_RTO_MAX_MS = 44


class LateReader(Listener):
    """A target with a small receive window, which the tests read late."""

    def __init__(self):
        super().__init__()
        self.listening.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
        )


def gone_s():
    """Return within which time a peer that is gone has to be found out."""
    with socket.socket() as unconnected:
        try:
            unconnected.setsockopt(socket.IPPROTO_TCP, TCP_RTO_MAX_MS, 1000)
        except OSError:
            return UNCAPPED_GONE_S
    return GONE_S


def pooled_timeouts_ms(client):
    """Return the user timeouts of the connections that are kept."""
    return [
        handler.transport.get_extra_info('socket').getsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
        )
        for kept in client._pooled._conns.values()
        for handler, _ in kept
    ]


async def read_late(client, reader, length):
    """Read a request after a long time; return the status of its answer."""
    loop = asyncio.get_running_loop()
    exchange = send(client, reader, bytes(length))
    accepted = await reader.accept()
    await asyncio.sleep(2 * GONE_S)
    left = length
    while left > 0:
        left -= len(await loop.sock_recv(accepted, 65536))
    await loop.sock_sendall(
        accepted, b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
    )
    response = await asyncio.wait_for(exchange, GONE_S)
    return response.status


async def vanish_after(client, length, alive_s):
    """Return how long the exchange with a target that vanishes lasts."""
    loop = asyncio.get_running_loop()
    reader = LateReader()
    exchange = send(client, reader, bytes(length))
    accepted = await reader.accept()
    await asyncio.sleep(alive_s)
    vanish(accepted)
    began_s = loop.time()
    with pytest.raises(errors.TargetGoneError):
        await asyncio.wait_for(exchange, 2 * UNCAPPED_GONE_S)
    reader.close()
    return loop.time() - began_s


async def test_a_target_that_reads_its_request_late_is_not_gone(client):
    # Guards against requests that are broken off at work, as their target takes
    # the body only later and its receive window is closed.
    readers = [LateReader() for _ in LENGTHS]
    statuses = await asyncio.gather(
        *(
            read_late(client, reader, length)
            for reader, length in zip(readers, LENGTHS)
        )
    )
    assert statuses == [200, 200, 200]
    assert pooled_timeouts_ms(client) == [4000, 4000, 4000]
    for reader in readers:
        reader.close()


async def test_a_target_that_vanishes_before_it_reads_ends_its_exchange(client):
    """Guards against requests held by the closed window of a dead machine."""
    taken_s = await asyncio.gather(
        *(
            vanish_after(client, length, alive_s)
            for length in LENGTHS
            for alive_s in (0.0, 1.0, 3.0, 6.0)
        )
    )
    assert max(taken_s) < gone_s()
