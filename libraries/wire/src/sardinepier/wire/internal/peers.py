"""The sending half: a bounded queue and a task for each peer."""

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
    """What all peers of one network share."""

    queue_length: int
    idle_close_s: float
    source_ip: str | None
    bounds: limits.ZmqLimits


@dataclasses.dataclass(frozen=True, slots=True)
class _Waiting:
    """A frame in a queue, and until when it is worth sending."""

    frame: bytes
    deadline_s: float


@dataclasses.dataclass(slots=True, eq=False)
class _Peer:
    """One peer that was sent to not long ago.

    The task sends what could not go out at once, and closes the socket at
    ``idle_deadline_s``, which each message moves.
    """

    address: messages.PeerAddress
    opened: sockets.Socket
    waiting: asyncio.Queue[_Waiting]
    idle_deadline_s: float
    is_blocked: bool = False
    task: asyncio.Task[None] | None = None


class PeerTable:
    """All peers with a socket; the one used least recently comes first."""

    def __init__(
        self,
        options: PeerOptions,
        context: sockets.Context,
        time_source: clock.Clock,
        counts: counters.CounterSet,
    ) -> None:
        """Start without peers; sockets come from ``context``."""
        self._options = options
        self._context = context
        self._clock = time_source
        self._counts = counts
        self._peers: dict[messages.PeerAddress, _Peer] = {}
        self._queued_bytes = 0
        self._closed = False

    def queue(self, address: messages.PeerAddress, frame: bytes) -> bool:
        """Send ``frame`` to ``address`` or queue it; False if dropped."""
        if self._closed:
            return self._drop(counters.DropReason.CLOSED)
        peer = self._peers.pop(address, None) or self._open(address)
        if peer is None:
            return False
        self._peers[address] = peer
        now_s = self._clock.monotonic_s()
        peer.idle_deadline_s = now_s + self._options.idle_close_s
        # Most messages can go out at once; waking the peer's task for each
        # would double what a message costs.
        if not peer.is_blocked and self._sent_at_once(peer.opened, frame):
            return True
        return self._wait(peer, frame, now_s)

    async def close(self) -> None:
        """End all tasks and close their sockets."""
        self._closed = True
        tasks = [peer.task for peer in self._peers.values() if peer.task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._peers.clear()

    def _drop(self, reason: counters.DropReason) -> bool:
        self._counts.drop(reason)
        return False

    def _wait(self, peer: _Peer, frame: bytes, now_s: float) -> bool:
        queued_bytes = self._queued_bytes + len(frame)
        is_over = queued_bytes > self._options.bounds.queued_bytes
        if is_over or peer.waiting.full():
            return self._drop(counters.DropReason.QUEUE_FULL)
        deadline_s = now_s + self._options.bounds.message_ttl_s
        peer.waiting.put_nowait(_Waiting(frame, deadline_s))
        peer.is_blocked = True
        self._queued_bytes = queued_bytes
        return True

    def _open(self, address: messages.PeerAddress) -> _Peer | None:
        if len(self._peers) >= self._options.bounds.max_peers:
            if not self._close_one_idle():
                self._counts.drop(counters.DropReason.PEER_LIMIT)
                return None
        try:
            opened = sockets.open_sender(
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
            opened,
            asyncio.Queue(self._options.queue_length),
            self._clock.monotonic_s() + self._options.idle_close_s,
        )
        peer.task = asyncio.get_running_loop().create_task(self._run(peer))
        # Not in a `finally`: a task cancelled before it began runs none.
        peer.task.add_done_callback(functools.partial(self._ended, peer))
        return peer

    def _close_one_idle(self) -> bool:
        for peer in self._peers.values():
            if not peer.is_blocked and peer.task:
                peer.task.cancel()
                self._peers.pop(peer.address)
                return True
        return False

    async def _run(self, peer: _Peer) -> None:
        while True:
            waiting = await self._next(peer)
            if waiting is None:
                # From here on a new message opens a new socket and task.
                self._remove(peer)
                return
            self._queued_bytes -= len(waiting.frame)
            await self._send_one(peer.opened, waiting)
            peer.is_blocked = not peer.waiting.empty()

    async def _next(self, peer: _Peer) -> _Waiting | None:
        """Return what waits, or None once the peer was idle for long."""
        while True:
            idle_s = peer.idle_deadline_s - self._clock.monotonic_s()
            if idle_s <= 0 and peer.waiting.empty():
                return None
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(idle_s, 0)):
                    return await peer.waiting.get()

    async def _send_one(
        self, opened: sockets.Socket, waiting: _Waiting
    ) -> None:
        left_s = waiting.deadline_s - self._clock.monotonic_s()
        if not self._sent_at_once(opened, waiting.frame):
            if left_s > 0:
                await readiness.wait_writable(opened, left_s)
            if not self._sent_at_once(opened, waiting.frame):
                self._counts.drop(counters.DropReason.STALE)

    def _sent_at_once(self, opened: sockets.Socket, frame: bytes) -> bool:
        with contextlib.suppress(zmq.Again):
            opened.send(frame, zmq.NOBLOCK)
            self._counts.sent(len(frame))
            return True
        return False

    def _remove(self, peer: _Peer) -> None:
        if self._peers.get(peer.address) is peer:
            self._peers.pop(peer.address)

    def _ended(self, peer: _Peer, task: asyncio.Task[None]) -> None:
        self._remove(peer)
        peer.opened.close(linger=0)
        while not peer.waiting.empty():
            self._queued_bytes -= len(peer.waiting.get_nowait().frame)
            self._counts.drop(counters.DropReason.CLOSED)
