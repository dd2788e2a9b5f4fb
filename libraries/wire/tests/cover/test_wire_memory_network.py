"""The fake network brings about each fault that it names, seeded."""

import functools
import random

import pytest

from sardinepier.core import clock, ids
from sardinepier.wire import memory_network, messages


class Item(messages.Message, frozen=True):
    number: int


def _address(port):
    return messages.PeerAddress('10.0.0.1', port)


def _note(heard, who, what):
    heard.append(what.number)


def _hub(seed=1):
    manual = clock.ManualClock()
    hub = memory_network.MemoryHub((Item,), manual, random.Random(seed))
    ends = []
    heard = {1: [], 2: []}
    for port in heard:
        sender = messages.Sender(ids.InstanceId(f'd{port}~1'), _address(port))
        end = hub.network(sender)
        end.subscribe(Item, functools.partial(_note, heard[port]))
        ends.append(end)
    return hub, manual, ends, heard


def test_a_cut_is_one_way_until_healed():
    hub, _, (first, second), heard = _hub()
    hub.cut(_address(1), _address(2))
    first.send(_address(2), Item(1))
    second.send(_address(1), Item(2))
    hub.deliver()
    assert heard == {1: [2], 2: []}
    hub.heal(_address(1), _address(2))
    first.send(_address(2), Item(3))
    hub.deliver()
    assert heard[2] == [3]


@pytest.mark.parametrize(
    ('faults', 'expected'),
    [
        (memory_network.LinkFaults(), lambda got: got == list(range(200))),
        (
            memory_network.LinkFaults(loss=0.5),
            lambda got: 50 < len(got) < 150 and got == sorted(got),
        ),
        (
            memory_network.LinkFaults(duplicate=0.5),
            lambda got: len(got) > 250 and len(set(got)) == 200,
        ),
        (
            memory_network.LinkFaults(reorder_s=1.0),
            lambda got: got != sorted(got) and len(got) == 200,
        ),
    ],
)
def test_each_fault_is_brought_about_and_repeats_with_its_seed(
    faults, expected
):
    runs = []
    for _ in range(2):
        hub, manual, (first, _), heard = _hub()
        hub.faults = faults
        for number in range(200):
            first.send(_address(2), Item(number))
        manual.advance(2)
        hub.deliver()
        runs.append(heard[2])
    assert runs[0] == runs[1]
    assert expected(runs[0])


def test_a_delayed_message_is_not_delivered_early():
    hub, manual, (first, _), heard = _hub()
    hub.faults = memory_network.LinkFaults(delay_s=0.5)
    first.send(_address(2), Item(1))
    manual.advance(0.4)
    assert hub.deliver() == 0
    manual.advance(0.2)
    assert hub.deliver() == 1
    assert heard[2] == [1]


def test_a_replaced_daemon_neither_hears_nor_speaks_any_more():
    hub, _, (first, second), heard = _hub()
    hub.network(
        messages.Sender(ids.InstanceId('d1~2'), _address(1)),
    )
    first.send(_address(2), Item(1))
    second.send(_address(1), Item(2))
    hub.detach(_address(2))
    second.send(_address(1), Item(3))
    hub.deliver()
    assert heard == {1: [], 2: []}


def test_a_paused_daemon_gets_all_that_waited_when_it_resumes():
    hub, _, (first, _), heard = _hub()
    hub.pause(_address(2))
    first.send(_address(2), Item(1))
    first.send(_address(2), Item(2))
    hub.deliver()
    assert not heard[2]
    hub.resume(_address(2))
    first.send(_address(2), Item(3))
    hub.deliver()
    assert heard[2] == [1, 2, 3]
