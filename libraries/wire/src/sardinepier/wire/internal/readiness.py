"""Waits for ZeroMQ sockets in the event loop.

The asyncio sockets of pyzmq create a future and several callbacks for each
message, which costs more than the message itself. To keep the overhead of
control traffic low, sockets are used directly: try first, and wait only when
pyzmq raises ``Again``.

The descriptor of a ZeroMQ socket is edge-triggered: it signals *changes* of
state. Check the socket before waiting for the descriptor, or the wait may
miss a signal that was given earlier.
"""

import asyncio
import contextlib
from collections.abc import Iterator

import zmq

from sardinepier.wire.internal import sockets


@contextlib.contextmanager
def watch_changes(socket: sockets.Socket) -> Iterator[asyncio.Event]:
    """Yield an event that is set whenever the socket's state changes."""
    changed = asyncio.Event()
    loop = asyncio.get_running_loop()
    descriptor = socket.fileno()
    loop.add_reader(descriptor, changed.set)
    try:
        yield changed
    finally:
        loop.remove_reader(descriptor)


async def wait_writable(socket: sockets.Socket, timeout_s: float) -> bool:
    """Wait until the socket accepts a message; False after ``timeout_s``."""
    with contextlib.suppress(TimeoutError), watch_changes(socket) as changed:
        async with asyncio.timeout(timeout_s):
            while not _is_writable(socket):
                await changed.wait()
                changed.clear()
    return _is_writable(socket)


def _is_writable(socket: sockets.Socket) -> bool:
    # Reading the events also resets the signal of the descriptor.
    events = socket.getsockopt(zmq.EVENTS)
    return isinstance(events, int) and bool(events & zmq.POLLOUT)
