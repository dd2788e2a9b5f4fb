"""The contract of a network between daemons, run against both of them."""

import asyncio
import contextlib
import random

import pytest

from sardinepier.core import clock, errors, ids
from sardinepier.wire import counters, hooks, memory_network, messages
from sardinepier.wire import zmq_network

_UNUSED_ADDRESS = messages.PeerAddress('127.0.0.1', 9)


class Greeting(messages.Message, frozen=True):
    text: str


class Number(messages.Message, frozen=True):
    number: int


class Unregistered(messages.Message, frozen=True):
    number: int


def _sender(name, port=0):
    address = messages.PeerAddress('127.0.0.1', port)
    return messages.Sender(ids.InstanceId(name), address)


@contextlib.asynccontextmanager
async def _zmq_pair():
    networks = []
    tasks = []
    for name in ('a~1', 'b~1'):
        network = zmq_network.ZmqNetwork(
            (Greeting, Number),
            _sender(name),
            messages.PeerAddress('127.0.0.1', 0),
            clock.SystemClock(),
        )
        network.open()
        networks.append(network)
        tasks.append(asyncio.create_task(network.run()))
    yield networks
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


@contextlib.asynccontextmanager
async def _memory_pair():
    hub = memory_network.MemoryHub(
        (Greeting, Number),
        clock.SystemClock(),
        random.Random(1),
        automatic=True,
    )
    yield [hub.network(_sender('a~1', 1001)), hub.network(_sender('b~1', 1002))]


@pytest.fixture(params=(_zmq_pair, _memory_pair))
async def pair(request):
    async with request.param() as networks:
        yield networks


async def _until(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.01)


async def test_messages_arrive_complete_in_order_with_their_sender(pair):
    left, right = pair
    received = []
    right.subscribe(
        Greeting, lambda sender, message: received.append((sender, message))
    )
    greetings = [Greeting('x' * size) for size in (0, 1, 100_000)]
    for greeting in greetings:
        assert left.send(right.sender.address, greeting)
    await _until(lambda: len(received) == 3)
    assert received == [(left.sender, greeting) for greeting in greetings]
    assert left.counters().messages_sent == 3
    assert right.counters().bytes_received == left.counters().bytes_sent


async def test_a_reply_goes_to_the_address_of_the_sender(pair):
    left, right = pair
    received = []
    left.subscribe(
        Number, lambda sender, message: received.append(message.number)
    )
    right.subscribe(
        Greeting,
        lambda sender, message: right.send(
            sender.address, Number(len(message.text))
        ),
    )
    left.send(right.sender.address, Greeting('four'))
    await _until(lambda: received == [4])


async def test_a_raising_handler_is_counted_and_does_not_stop_the_network(pair):
    left, right = pair
    received = []
    failures = []

    def handle(sender, message):
        if message.text == 'bad':
            raise errors.InvalidArgumentError('Bad', 'Send good ones')
        received.append(message.text)

    right.subscribe(Greeting, handle)
    right.use_hooks(
        hooks.NetworkHooks(
            on_handler_failure=lambda message, error: failures.append(
                error.what
            ),
        ),
    )
    left.send(right.sender.address, Greeting('bad'))
    left.send(right.sender.address, Greeting('good'))
    await _until(lambda: received == ['good'])
    assert failures == ['Bad']
    assert right.counters().handler_failures == {'InvalidArgumentError': 1}


async def test_a_kind_without_handler_is_counted(pair):
    left, right = pair
    left.send(right.sender.address, Number(1))
    await _until(lambda: right.counters().dropped)
    assert right.counters().dropped == {counters.DropReason.NO_HANDLER: 1}


async def test_stamps_are_sent_with_messages(pair):
    left, right = pair
    stamps = []
    right.subscribe(Number, lambda sender, message: None)
    right.use_hooks(hooks.NetworkHooks(on_stamp=stamps.append))
    left.send(right.sender.address, Number(1))
    left.use_hooks(hooks.NetworkHooks(stamp_source=lambda: (7, 2**40)))
    left.send(right.sender.address, Number(2))
    await _until(lambda: right.counters().messages_received == 2)
    assert stamps == [(7, 2**40)]


async def test_sent_messages_are_counted_by_kind_and_zone(pair):
    # Guards against inter-zone costs whose cause no metric names.
    left, right = pair
    left.send(right.sender.address, Number(1))
    await _until(lambda: left.counters().traffic)
    crossing = {right.sender.address: True, _UNUSED_ADDRESS: False}
    left.use_hooks(hooks.NetworkHooks(crosses_zones=crossing.get))
    left.send(right.sender.address, Number(1))
    left.send(right.sender.address, Greeting('x'))
    left.send(right.sender.address, Greeting('y'))
    await _until(lambda: right.counters().messages_received == 4)
    counted = left.counters()
    assert {
        (sent.kind, sent.crossing.value): sent.messages
        for sent in counted.traffic
    } == {
        ('Number', 'unknown'): 1,
        ('Number', 'yes'): 1,
        ('Greeting', 'yes'): 2,
    }
    assert sum(sent.bytes for sent in counted.traffic) == counted.bytes_sent


async def test_a_failure_to_count_by_zone_does_not_prevent_a_send(pair):
    # Guards against messages lost because of a fault in the accounting.
    left, right = pair
    left.use_hooks(hooks.NetworkHooks(crosses_zones={}.__getitem__))
    assert left.send(right.sender.address, Number(1))
    await _until(lambda: right.counters().messages_received == 1)
    assert left.counters().traffic[0].crossing is counters.ZoneCrossing.UNKNOWN


async def test_send_never_raises_for_messages_that_cannot_be_sent(pair):
    left, _ = pair
    assert left.send(_UNUSED_ADDRESS, Number(1))
    assert not left.send(messages.PeerAddress('name.example', 80), Number(1))
    assert not left.send(messages.PeerAddress('127.0.0.1', 0), Number(1))
    assert not left.send(_UNUSED_ADDRESS, Greeting('x' * 2_000_000))
    assert left.counters().dropped == {
        counters.DropReason.BAD_PEER: 2,
        counters.DropReason.OVERSIZED: 1,
    }


async def test_subscribing_to_an_unregistered_kind_is_rejected(pair):
    with pytest.raises(errors.SardinepierError, match='Unregistered'):
        pair[0].subscribe(Unregistered, lambda sender, message: None)
