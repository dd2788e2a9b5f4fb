"""Sends frames to peers, with a bounded queue and a task for each."""

import asyncio
import contextlib
import dataclasses
import functools

import zmq

from sardinepier.core import clock
from sardinepier.wire import counters, limits, messages
from sardinepier.wire.internal import readiness, sockets


@dataclasses.dataclass(frozen=True, slots=True)
class PeerOptions:
    """Settings shared by all peers of one network."""

    queue_length: int
    idle_close_s: float
    source_ip: str | None
    bounds: limits.ZmqLimits


@dataclasses.dataclass(frozen=True, slots=True)
class _QueuedFrame:
    """A queued frame, its kind, and the time after which it is dropped."""

    frame: bytes
    kind: str
    deadline_s: float


@dataclasses.dataclass(slots=True, eq=False)
class _Peer:
    """A peer with an open socket.

    The task sends the frames that could not be sent at once. It ends at
    ``idle_deadline_s``, which each message postpones; the socket is then
    closed.
    """

    address: messages.PeerAddress
    socket: sockets.Socket
    queued: asyncio.Queue[_QueuedFrame]
    idle_deadline_s: float
    is_blocked: bool = False
    task: asyncio.Task[None] | None = None


class PeerTable:
    """All peers with a socket, the least recently used first."""

    def __init__(
        self,
        options: PeerOptions,
        context: sockets.Context,
        time_source: clock.Clock,
        counts: counters.CounterSet,
    ) -> None:
        """Start without peers; ``context`` creates the sockets."""
        self._options = options
        self._context = context
        self._clock = time_source
        self._counts = counts
        self._peers: dict[messages.PeerAddress, _Peer] = {}
        self._queued_bytes = 0
        self._closed = False

    def send(
        self,
        address: messages.PeerAddress,
        frame: bytes,
        kind: str,
    ) -> bool:
        """Send ``frame`` to ``address`` or queue it; return False if dropped.

        ``kind`` is the kind of message to count it by.
        """
        if self._closed:
            return self._drop(counters.DropReason.CLOSED)
        peer = self._peers.pop(address, None) or self._open_peer(address)
        if peer is None:
            return False
        self._peers[address] = peer
        now_s = self._clock.monotonic_s()
        peer.idle_deadline_s = now_s + self._options.idle_close_s
        # Most messages can be sent at once. Waking the peer's task for each
        # would double the cost of a message.
        if not peer.is_blocked and self._try_send(peer, frame, kind):
            return True
        deadline_s = now_s + self._options.bounds.message_ttl_s
        return self._enqueue(peer, _QueuedFrame(frame, kind, deadline_s))

    async def close(self) -> None:
        """Cancel the tasks of all peers and close their sockets."""
        self._closed = True
        tasks = [peer.task for peer in self._peers.values() if peer.task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._peers.clear()

    def _drop(self, reason: counters.DropReason) -> bool:
        self._counts.drop(reason)
        return False

    def _enqueue(self, peer: _Peer, queued: _QueuedFrame) -> bool:
        queued_bytes = self._queued_bytes + len(queued.frame)
        exceeds_limit = queued_bytes > self._options.bounds.queued_bytes
        if exceeds_limit or peer.queued.full():
            return self._drop(counters.DropReason.QUEUE_FULL)
        peer.queued.put_nowait(queued)
        peer.is_blocked = True
        self._queued_bytes = queued_bytes
        return True

    def _open_peer(self, address: messages.PeerAddress) -> _Peer | None:
        if len(self._peers) >= self._options.bounds.max_peers:
            if not self._close_idle_peer():
                self._counts.drop(counters.DropReason.PEER_LIMIT)
                return None
        try:
            socket = sockets.open_sender(
                self._context,
                address,
                self._options.source_ip,
                self._options.bounds,
            )
        except zmq.ZMQError:
            self._counts.drop(counters.DropReason.SEND_FAILED)
            return None
        peer = _Peer(
            address,
            socket,
            asyncio.Queue(self._options.queue_length),
            self._clock.monotonic_s() + self._options.idle_close_s,
        )
        peer.task = asyncio.get_running_loop().create_task(self._run(peer))
        # Not in a `finally`, which a task cancelled before its start skips.
        peer.task.add_done_callback(functools.partial(self._on_task_done, peer))
        return peer

    def _close_idle_peer(self) -> bool:
        for peer in self._peers.values():
            if not peer.is_blocked and peer.task:
                peer.task.cancel()
                self._peers.pop(peer.address)
                return True
        return False

    async def _run(self, peer: _Peer) -> None:
        while True:
            queued = await self._next_frame(peer)
            if queued is None:
                # The next message to the peer opens a new socket and task.
                self._remove(peer)
                return
            self._queued_bytes -= len(queued.frame)
            await self._send_or_drop(peer, queued)
            peer.is_blocked = not peer.queued.empty()

    async def _next_frame(self, peer: _Peer) -> _QueuedFrame | None:
        """Return the next queued frame, or None when the peer is idle."""
        while True:
            idle_s = peer.idle_deadline_s - self._clock.monotonic_s()
            if idle_s <= 0 and peer.queued.empty():
                return None
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(idle_s, 0)):
                    return await peer.queued.get()

    async def _send_or_drop(self, peer: _Peer, queued: _QueuedFrame) -> None:
        remaining_s = queued.deadline_s - self._clock.monotonic_s()
        if not self._try_send(peer, queued.frame, queued.kind):
            if remaining_s > 0:
                await readiness.wait_writable(peer.socket, remaining_s)
            if not self._try_send(peer, queued.frame, queued.kind):
                self._counts.drop(counters.DropReason.STALE)

    def _try_send(self, peer: _Peer, frame: bytes, kind: str) -> bool:
        with contextlib.suppress(zmq.Again):
            peer.socket.send(frame, zmq.NOBLOCK)
            self._counts.sent(peer.address, kind, len(frame))
            return True
        return False

    def _remove(self, peer: _Peer) -> None:
        if self._peers.get(peer.address) is peer:
            self._peers.pop(peer.address)

    def _on_task_done(self, peer: _Peer, task: asyncio.Task[None]) -> None:
        self._remove(peer)
        peer.socket.close(linger=0)
        while not peer.queued.empty():
            self._queued_bytes -= len(peer.queued.get_nowait().frame)
            self._counts.drop(counters.DropReason.CLOSED)
