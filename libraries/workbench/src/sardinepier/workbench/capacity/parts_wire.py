"""What one message and one peer cost on the real network of this machine."""

import asyncio
import contextlib
import os
import time
from collections.abc import AsyncIterator, Callable
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.wire import messages, zmq_network
from sardinepier.workbench.capacity import parts, proc

_IP: Final = '127.0.0.1'
_PEERS: Final = (8, 32, 64, 128)
_BODY_BYTES: Final = (0, 500, 3700)
_MESSAGES: Final = 600
_PAUSE_S: Final = 0.002
_US_PER_S: Final = 1_000_000
_ROUNDS: Final = 3
_SETTLE_S: Final = 0.4


class Parcel(messages.Message, frozen=True):
    """A message of a chosen size."""

    body: bytes


async def measure(quick: bool) -> parts.Part:
    """Measure messages one by one, as heartbeats and reports go out."""
    part = parts.Part('wire')
    for size in _BODY_BYTES:
        taken_us = [await _message_us(size) for _ in range(_ROUNDS)]
        part.costs('message sent and received', size, taken_us)
    for count in _PEERS[: 2 if quick else None]:
        part.amount(
            'peers both ways',
            count,
            await _peers_bytes(count),
            'bytes',
        )
    return part


async def _message_us(size: int) -> float:
    """Return the processor time of both ends, with the library's threads.

    The messages go out one at a time with a pause, since a daemon's messages
    come alone: many at once share their system calls and seem cheap.
    """
    first, second = _network(1), _network(2)
    second.subscribe(Parcel, lambda sender, parcel: None)
    async with _running(first, second):
        parcel = Parcel(bytes(size))
        address = second.sender.address
        first.send(address, parcel)
        await asyncio.sleep(_SETTLE_S)
        idle_s = await _cpu_s(lambda: None)
        busy_s = await _cpu_s(lambda: first.send(address, parcel))
    return (busy_s - idle_s) * _US_PER_S / _MESSAGES


async def _cpu_s(action: Callable[[], object]) -> float:
    began_s = time.process_time()
    for _ in range(_MESSAGES):
        action()
        await asyncio.sleep(_PAUSE_S)
    return time.process_time() - began_s


async def _peers_bytes(count: int) -> float:
    """Return what ``count`` peers add to the resident memory.

    Each peer is a network of its own in this process, to which messages go
    and from which messages come. Both ends of each connection count, so the
    figure is an upper bound of what one daemon pays for its own ends.
    """
    centre = _network(0)
    others = [_network(number) for number in range(1, count + 1)]
    async with _running(centre, *others):
        await asyncio.sleep(_SETTLE_S)
        before = proc.read(os.getpid()).resident_bytes
        for other in others:
            centre.send(other.sender.address, Parcel(b''))
            other.send(centre.sender.address, Parcel(b''))
        await asyncio.sleep(_SETTLE_S)
        after = proc.read(os.getpid()).resident_bytes
    return float(after - before)


@contextlib.asynccontextmanager
async def _running(
    *networks: zmq_network.ZmqNetwork,
) -> AsyncIterator[None]:
    tasks = [asyncio.create_task(each.run()) for each in networks]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _network(number: int) -> zmq_network.ZmqNetwork:
    anywhere = messages.PeerAddress(_IP, 0)
    name = ids.InstanceId(f'entry-{number:04}~00c0ffee00c0ffee')
    network = zmq_network.ZmqNetwork(
        (Parcel,),
        messages.Sender(name, anywhere),
        anywhere,
        clocks.SystemClock(),
    )
    network.open()
    return network
