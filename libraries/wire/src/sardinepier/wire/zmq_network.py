"""The network between daemons over pyzmq.

Each direction is a separate one-way connection from ``PUSH`` to ``PULL``. A
socket pair that carried both directions would hide a link that fails in one
direction only, which the fleet must be able to detect.
"""

import asyncio
import contextlib
from collections.abc import Callable, Iterable
from typing import Final

import zmq

from sardinepier.core import clock
from sardinepier.wire import (
    codec,
    counters,
    hooks,
    limits,
    messages,
    network,
)
from sardinepier.wire.internal import (
    dispatch,
    endpoints,
    peers,
    readiness,
    sockets,
)

DEFAULT_QUEUE_LENGTH: Final = 256
DEFAULT_IDLE_CLOSE_S: Final = 60.0
_MAX_RECEIVE_BATCH: Final = 64


class ZmqNetwork:
    """A ``PeerNetwork`` over TCP, for one daemon process.

    This process listens on ``bind``; with port 0 the system chooses a port. A
    port 0 of ``sender`` is replaced by the bound port when :meth:`open`
    returns. For example::

        network = ZmqNetwork(kinds, sender, bind, SystemClock())
        network.open()
        task = asyncio.create_task(network.run())
    """

    def __init__(
        self,
        kinds: Iterable[type[messages.Message]],
        sender: messages.Sender,
        bind: messages.PeerAddress,
        time_source: clock.Clock,
        *,
        queue_length: int = DEFAULT_QUEUE_LENGTH,
        idle_close_s: float = DEFAULT_IDLE_CLOSE_S,
        source_ip: str | None = None,
        bounds: limits.ZmqLimits | None = None,
    ) -> None:
        """Check the arguments; no socket is opened yet.

        ``queue_length`` limits the messages that wait for one peer. A peer's
        socket is closed after ``idle_close_s`` seconds without a message.
        Connections are made from ``source_ip`` if it is given. Raises
        ``InvalidArgumentError`` and ``MessageKindsError``.
        """
        self._bounds = bounds or limits.ZmqLimits()
        self._sender = sender
        self._bind = bind
        self._counts = counters.CounterSet()
        self._dispatcher = dispatch.Dispatcher(
            codec.Codec(kinds),
            self._counts,
            self._bounds.max_message_bytes,
        )
        self._context: sockets.Context = zmq.Context()
        self._receiver: sockets.Socket | None = None
        self._peers = peers.PeerTable(
            peers.PeerOptions(
                queue_length=limits.require_positive(
                    'queue_length', queue_length
                ),
                idle_close_s=limits.require_positive(
                    'idle_close_s', idle_close_s
                ),
                source_ip=endpoints.validate_source_ip(source_ip),
                bounds=self._bounds,
            ),
            self._context,
            time_source,
            self._counts,
        )

    @property
    def sender(self) -> messages.Sender:
        """The instance id and address sent with each message."""
        return self._sender

    def use_hooks(self, network_hooks: hooks.NetworkHooks) -> None:
        """Replace the callbacks for stamps, failures and zones."""
        self._dispatcher.hooks = network_hooks
        self._counts.crosses_zones = network_hooks.crosses_zones

    def open(self) -> messages.PeerAddress:
        """Start to listen and return the bound address.

        Raises ``PortInUseError`` or ``AddressUnavailableError``. A second
        call returns the same address.
        """
        if self._receiver is None:
            self._receiver = sockets.open_receiver(
                self._context,
                self._bind,
                self._bounds,
            )
            self._bind = sockets.bound_address(self._receiver, self._bind)
            self._sender = _with_bound_port(self._sender, self._bind)
        return self._bind

    def send(
        self,
        peer: messages.PeerAddress,
        message: messages.Message,
    ) -> bool:
        """Send or queue ``message``; return False when it was dropped at once.

        Must be called from the event loop that runs :meth:`run`.
        """
        if not peer.is_valid():
            self._counts.drop(counters.DropReason.BAD_PEER)
            return False
        frame = self._dispatcher.encode(self._sender, message)
        if frame is None:
            return False
        return self._peers.send(peer, frame, type(message).__name__)

    def subscribe(
        self,
        kind: type[network.MessageT],
        handler: Callable[[messages.Sender, network.MessageT], None],
    ) -> None:
        """Make ``handler`` the only handler of ``kind``."""
        self._dispatcher.subscribe(kind, handler)

    def counters(self) -> counters.NetworkCounters:
        """Return the counts since the network was created."""
        return self._counts.snapshot()

    async def run(self) -> None:
        """Receive messages until cancelled, then close all sockets."""
        self.open()
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._close)
            await self._receive()

    async def _receive(self) -> None:
        receiver = self._receiver
        if receiver is None:
            return
        with readiness.watch_changes(receiver) as changed:
            while True:
                changed.clear()
                while self._receive_batch(receiver):
                    # Under a flood of messages other tasks must still run.
                    await asyncio.sleep(0)
                await changed.wait()

    def _receive_batch(self, receiver: sockets.Socket) -> bool:
        """Dispatch up to a limit of messages; return False when none is left."""
        with contextlib.suppress(zmq.Again):
            for _ in range(_MAX_RECEIVE_BATCH):
                self._dispatcher.dispatch(receiver.recv(zmq.NOBLOCK))
            return True
        return False

    async def _close(self) -> None:
        await self._peers.close()
        if self._receiver is not None:
            self._receiver.close(linger=0)
        # Not `term`, which blocks the event loop until all sockets are closed.
        self._context.destroy(linger=0)


def _with_bound_port(
    sender: messages.Sender,
    bound: messages.PeerAddress,
) -> messages.Sender:
    if sender.address.port:
        return sender
    address = messages.PeerAddress(sender.address.ip, bound.port)
    return messages.Sender(sender.instance_id, address)
