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
