"""The sending half: a bounded queue and a task for each peer."""

import asyncio
import contextlib
import dataclasses
import functools

import zmq
from zmq import asyncio as zmq_asyncio

from sardinepier.core import clock
from sardinepier.wire import counters, limits, messages
from sardinepier.wire.internal import sockets

_MS_PER_S = 1000


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
    """One peer that was sent to not long ago."""

    address: messages.PeerAddress
    waiting: asyncio.Queue[_Waiting]
    task: asyncio.Task[None] | None = None


class PeerTable:
    """All peers with a socket; the one used least recently comes first."""

    def __init__(
        self,
        options: PeerOptions,
        context: zmq_asyncio.Context,
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
        """Queue ``frame`` for ``address``; False when it was dropped."""
        if self._closed:
            return self._drop(counters.DropReason.CLOSED)
        queued_bytes = self._queued_bytes + len(frame)
        if queued_bytes > self._options.bounds.queued_bytes:
            return self._drop(counters.DropReason.QUEUE_FULL)
        peer = self._peers.pop(address, None) or self._open(address)
        if peer is None:
            return self._drop(counters.DropReason.PEER_LIMIT)
        self._peers[address] = peer
        if peer.waiting.full():
            return self._drop(counters.DropReason.QUEUE_FULL)
        deadline_s = self._clock.monotonic_s() + self._options.bounds.keep_s
        peer.waiting.put_nowait(_Waiting(frame, deadline_s))
        self._queued_bytes = queued_bytes
        return True

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

    def _open(self, address: messages.PeerAddress) -> _Peer | None:
        if len(self._peers) >= self._options.bounds.max_peers:
            if not self._close_one_idle():
                return None
        peer = _Peer(address, asyncio.Queue(self._options.queue_length))
        peer.task = asyncio.get_running_loop().create_task(self._run(peer))
        # Not in a `finally`: a task cancelled before it began runs none.
        peer.task.add_done_callback(functools.partial(self._ended, peer))
        return peer

    def _close_one_idle(self) -> bool:
        for peer in self._peers.values():
            if peer.waiting.empty() and peer.task:
                peer.task.cancel()
                self._peers.pop(peer.address)
                return True
        return False

    async def _run(self, peer: _Peer) -> None:
        try:
            opened = sockets.open_sender(
                self._context,
                peer.address,
                self._options.source_ip,
                self._options.bounds,
            )
        except zmq.ZMQError:
            self._counts.drop(counters.DropReason.SEND_FAILED)
            return
        with contextlib.closing(opened):
            await self._send_until_idle(peer, opened)

    async def _send_until_idle(
        self,
        peer: _Peer,
        opened: zmq_asyncio.Socket,
    ) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._options.idle_close_s):
                    waiting = await peer.waiting.get()
                self._queued_bytes -= len(waiting.frame)
                await self._send_one(opened, waiting)
                continue
            if peer.waiting.empty():
                # From here on a new message opens a new socket and task.
                self._remove(peer)
                return

    async def _send_one(
        self,
        opened: zmq_asyncio.Socket,
        waiting: _Waiting,
    ) -> None:
        if await self._sent_at_once(opened, waiting.frame):
            return
        left_s = waiting.deadline_s - self._clock.monotonic_s()
        if left_s > 0:
            poller = zmq_asyncio.Poller()
            poller.register(opened, zmq.POLLOUT)
            await poller.poll(int(left_s * _MS_PER_S))
        if not await self._sent_at_once(opened, waiting.frame):
            self._counts.drop(counters.DropReason.STALE)

    async def _sent_at_once(
        self,
        opened: zmq_asyncio.Socket,
        frame: bytes,
    ) -> bool:
        with contextlib.suppress(zmq.Again):
            await opened.send(frame, zmq.NOBLOCK)
            self._counts.sent(len(frame))
            return True
        return False

    def _remove(self, peer: _Peer) -> None:
        if self._peers.get(peer.address) is peer:
            self._peers.pop(peer.address)

    def _ended(self, peer: _Peer, task: asyncio.Task[None]) -> None:
        self._remove(peer)
        while not peer.waiting.empty():
            self._queued_bytes -= len(peer.waiting.get_nowait().frame)
            self._counts.drop(counters.DropReason.CLOSED)
