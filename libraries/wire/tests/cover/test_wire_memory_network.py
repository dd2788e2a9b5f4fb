"""The in-process network produces each of its faults, reproducibly."""

import functools
import random

import pytest

from sardinepier.core import clock, ids
from sardinepier.wire import memory_network, messages


class Item(messages.Message, frozen=True):
    number: int


def _address(port):
    return messages.PeerAddress('10.0.0.1', port)


def _record(received, sender, message):
    received.append(message.number)


def _hub(seed=1):
    manual = clock.ManualClock()
    hub = memory_network.MemoryHub((Item,), manual, random.Random(seed))
    networks = []
    received = {1: [], 2: []}
    for port in received:
        sender = messages.Sender(ids.InstanceId(f'd{port}~1'), _address(port))
        network = hub.network(sender)
        network.subscribe(Item, functools.partial(_record, received[port]))
        networks.append(network)
    return hub, manual, networks, received


def test_a_cut_is_one_way_until_healed():
    hub, _, (first, second), received = _hub()
    hub.cut(_address(1), _address(2))
    first.send(_address(2), Item(1))
    second.send(_address(1), Item(2))
    hub.deliver()
    assert received == {1: [2], 2: []}
    hub.heal(_address(1), _address(2))
    first.send(_address(2), Item(3))
    hub.deliver()
    assert received[2] == [3]


@pytest.mark.parametrize(
    ('faults', 'expected'),
    [
        (
            memory_network.LinkFaults(),
            lambda numbers: numbers == list(range(200)),
        ),
        (
            memory_network.LinkFaults(loss=0.5),
            lambda numbers: (
                50 < len(numbers) < 150 and numbers == sorted(numbers)
            ),
        ),
        (
            memory_network.LinkFaults(duplicate=0.5),
            lambda numbers: len(numbers) > 250 and len(set(numbers)) == 200,
        ),
        (
            memory_network.LinkFaults(reorder_s=1.0),
            lambda numbers: numbers != sorted(numbers) and len(numbers) == 200,
        ),
    ],
)
def test_each_fault_occurs_and_is_reproducible_by_its_seed(faults, expected):
    runs = []
    for _ in range(2):
        hub, manual, (first, _), received = _hub()
        hub.faults = faults
        for number in range(200):
            first.send(_address(2), Item(number))
        manual.advance(2)
        hub.deliver()
        runs.append(received[2])
    assert runs[0] == runs[1]
    assert expected(runs[0])


def test_a_delayed_message_is_not_delivered_early():
    hub, manual, (first, _), received = _hub()
    hub.faults = memory_network.LinkFaults(delay_s=0.5)
    first.send(_address(2), Item(1))
    manual.advance(0.4)
    assert hub.deliver() == 0
    manual.advance(0.2)
    assert hub.deliver() == 1
    assert received[2] == [1]


def test_a_replaced_daemon_neither_receives_nor_sends():
    hub, _, (first, second), received = _hub()
    hub.network(
        messages.Sender(ids.InstanceId('d1~2'), _address(1)),
    )
    first.send(_address(2), Item(1))
    second.send(_address(1), Item(2))
    hub.detach(_address(2))
    second.send(_address(1), Item(3))
    hub.deliver()
    assert received == {1: [], 2: []}


def test_a_paused_daemon_receives_all_buffered_messages_on_resume():
    hub, _, (first, _), received = _hub()
    hub.pause(_address(2))
    first.send(_address(2), Item(1))
    first.send(_address(2), Item(2))
    hub.deliver()
    assert not received[2]
    hub.resume(_address(2))
    first.send(_address(2), Item(3))
    hub.deliver()
    assert received[2] == [1, 2, 3]
