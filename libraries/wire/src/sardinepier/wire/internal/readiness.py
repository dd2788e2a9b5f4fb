"""Waiting for a socket of the messaging library inside the event loop.

The library's own asyncio sockets make a future and several callbacks for each
message, which costs more than the message itself. A daemon may spend very
little on control, so sockets are used directly: try first, wait only when
the library says "again".

The descriptor of such a socket signals *changes*. Whoever waits for it must
first have asked the socket itself, or would wait for a signal that has
already been given.
"""

import asyncio
import contextlib
from collections.abc import Iterator

import zmq

from sardinepier.wire.internal import sockets


@contextlib.contextmanager
def signals(opened: sockets.Socket) -> Iterator[asyncio.Event]:
    """Give an event that is set whenever something changed at the socket."""
    changed = asyncio.Event()
    loop = asyncio.get_running_loop()
    descriptor = opened.fileno()
    loop.add_reader(descriptor, changed.set)
    try:
        yield changed
    finally:
        loop.remove_reader(descriptor)


async def wait_writable(opened: sockets.Socket, limit_s: float) -> bool:
    """Wait until the socket takes a message; False after ``limit_s``."""
    with contextlib.suppress(TimeoutError), signals(opened) as changed:
        async with asyncio.timeout(limit_s):
            while not _is_writable(opened):
                await changed.wait()
                changed.clear()
    return _is_writable(opened)


def _is_writable(opened: sockets.Socket) -> bool:
    # Asking for the events also takes in what was signalled.
    events = opened.getsockopt(zmq.EVENTS)
    return isinstance(events, int) and bool(events & zmq.POLLOUT)
