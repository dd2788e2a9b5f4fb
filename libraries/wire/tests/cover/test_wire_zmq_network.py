"""The ZeroMQ network keeps its limits whatever its peers do."""

import asyncio
import contextlib
import socket

import msgspec
import pytest
import zmq
from zmq import asyncio as zmq_asyncio

from sardinepier.core import clock, errors as core_errors, ids
from sardinepier.wire import counters, errors, limits, messages, zmq_network

_LOCAL = messages.PeerAddress('127.0.0.1', 0)


class Item(messages.Message, frozen=True):
    payload: bytes


def _network(name='a~1', bind=_LOCAL, **options):
    sender = messages.Sender(ids.InstanceId(name), _LOCAL)
    return zmq_network.ZmqNetwork(
        (Item,), sender, bind, clock.SystemClock(), **options
    )


@contextlib.asynccontextmanager
async def _running(*networks):
    for network in networks:
        network.open()
    tasks = [asyncio.create_task(opened.run()) for opened in networks]
    yield
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _until(condition):
    async with asyncio.timeout(15):
        while not condition():
            await asyncio.sleep(0.01)


def _collect(network):
    received = []
    network.subscribe(
        Item, lambda sender, message: received.append(message.payload)
    )
    return received


async def test_a_port_in_use_raises_a_typed_error_with_a_remedy():
    with socket.socket() as listener:
        listener.bind(('127.0.0.1', 0))
        listener.listen()
        bind = messages.PeerAddress(*listener.getsockname())
        with pytest.raises(
            errors.PortInUseError, match='set another peer_port'
        ):
            _network(bind=bind).open()


async def test_an_address_of_another_machine_raises_a_typed_error():
    foreign = messages.PeerAddress('192.0.2.1', 0)
    with pytest.raises(
        errors.AddressUnavailableError, match='of this instance'
    ):
        _network(bind=foreign).open()


@pytest.mark.parametrize(
    'options',
    [{'queue_length': 0}, {'idle_close_s': -1.0}, {'source_ip': 'here'}],
)
async def test_invalid_arguments_are_rejected_at_construction(options):
    with pytest.raises(core_errors.InvalidArgumentError):
        _network(**options)
    with pytest.raises(core_errors.InvalidArgumentError):
        limits.ZmqLimits(max_peers=0)


async def test_invalid_bytes_are_counted_and_do_not_stop_the_network():
    network = _network(bounds=limits.ZmqLimits(max_message_bytes=1000))
    received = _collect(network)
    valid_frame = msgspec.msgpack.encode(
        (1, 'x~1', ('10.0.0.1', 5), None, ('Item', b'good')),
    )
    frames = [b'', b'junk', b'x' * 1500, b'x' * 5000, valid_frame]
    async with _running(network):
        address = network.open()
        with zmq_asyncio.Context() as context:
            for frame in frames:
                with context.socket(zmq.PUSH) as push:
                    push.connect(f'tcp://{address.ip}:{address.port}')
                    await push.send(frame)
                    await asyncio.sleep(0.1)
        with socket.create_connection((address.ip, address.port)) as raw:
            raw.sendall(b'GET / HTTP/1.1\r\n\r\n')
        await _until(lambda: received)
    assert received == [b'good']
    dropped = network.counters().dropped
    assert dropped[counters.DropReason.MALFORMED] == 2
    # 5,000 bytes exceed the socket's own limit and are never received.
    assert dropped[counters.DropReason.OVERSIZED] == 1


async def test_an_unreachable_peer_fills_only_its_own_queue():
    with socket.socket() as closed:
        closed.bind(('127.0.0.1', 0))  # no listen: connections are refused
        unreachable = messages.PeerAddress(*closed.getsockname())
        network = _network(
            queue_length=3,
            bounds=limits.ZmqLimits(message_ttl_s=0.2),
        )
        async with _running(network):
            accepted = [network.send(unreachable, Item(b'x')) for _ in range(5)]
            assert accepted == [True, True, True, False, False]
            await _until(
                lambda: (
                    network.counters().dropped
                    == {
                        counters.DropReason.QUEUE_FULL: 2,
                        counters.DropReason.STALE: 3,
                    }
                ),
            )
    assert network.counters().messages_sent == 0


async def test_bytes_queued_for_all_peers_are_limited():
    network = _network(bounds=limits.ZmqLimits(queued_bytes=3000))
    async with _running(network):
        sent = [
            network.send(
                messages.PeerAddress('127.0.0.1', port), Item(b'x' * 900)
            )
            for port in (1, 2, 3, 4)
        ]
    assert sent == [True, True, True, False]
    dropped = network.counters().dropped
    assert dropped[counters.DropReason.QUEUE_FULL] == 1


async def test_sockets_are_limited_and_an_idle_one_is_replaced():
    left = _network(bounds=limits.ZmqLimits(max_peers=1))
    with socket.socket() as reserved:
        reserved.bind(('127.0.0.1', 0))
        address = messages.PeerAddress(*reserved.getsockname())
    peers = [_network('b~1', bind=address), _network('c~1')]
    received = [_collect(peer) for peer in peers]
    async with _running(left, peers[1]):
        # The socket of a peer is not idle until the peer has accepted it.
        assert left.send(address, Item(b'first'))
        assert not left.send(peers[1].sender.address, Item(b'second'))
        async with _running(peers[0]):
            await _until(lambda: received[0])
            assert left.send(peers[1].sender.address, Item(b'third'))
            await _until(lambda: received[1])
    assert received == [[b'first'], [b'third']]
    assert left.counters().dropped == {counters.DropReason.PEER_LIMIT: 1}


async def test_shutdown_does_not_wait_for_a_peer_just_replaced():
    left = _network(bounds=limits.ZmqLimits(max_peers=1))
    right = _network('b~1')
    received = _collect(right)
    async with _running(right):
        async with _running(left):
            left.send(right.sender.address, Item(b'x'))
            await _until(lambda: received)
            # The first peer's task is cancelled, its socket not closed yet.
            left.send(messages.PeerAddress('127.0.0.1', 9), Item(b'y'))


async def test_an_idle_socket_closes_and_a_later_message_opens_a_new_one():
    left = _network(idle_close_s=0.1)
    right = _network('b~1')
    received = _collect(right)
    async with _running(left, right):
        before = len(asyncio.all_tasks())
        left.send(right.sender.address, Item(b'one'))
        await _until(lambda: received)
        await _until(lambda: len(asyncio.all_tasks()) == before)
        left.send(right.sender.address, Item(b'two'))
        await _until(lambda: received == [b'one', b'two'])


async def test_messages_reach_a_daemon_restarted_at_the_same_address():
    left = _network()
    right = _network('b~1')
    received = _collect(right)
    async with _running(left):
        async with _running(right):
            left.send(right.sender.address, Item(b'one'))
            await _until(lambda: received)
        restarted = _network('b~2', bind=right.sender.address)
        received_again = _collect(restarted)
        async with _running(restarted):

            def retried():
                left.send(restarted.sender.address, Item(b'two'))
                return received_again

            await _until(retried)


async def test_connections_are_made_from_the_given_source_address():
    left = _network(source_ip='127.0.0.2')
    with socket.socket() as listener:
        listener.bind(('127.0.0.1', 0))
        listener.listen()
        listener.setblocking(False)
        async with _running(left):
            left.send(messages.PeerAddress(*listener.getsockname()), Item(b'x'))
            accept = asyncio.get_running_loop().sock_accept(listener)
            async with asyncio.timeout(10):
                accepted, peer = await accept
            accepted.close()
    assert peer[0] == '127.0.0.2'


async def test_messages_sent_after_shutdown_are_dropped_and_counted():
    network = _network()
    async with _running(network):
        await asyncio.sleep(0)
    assert not network.send(messages.PeerAddress('127.0.0.1', 1), Item(b'x'))
    assert network.counters().dropped == {counters.DropReason.CLOSED: 1}
