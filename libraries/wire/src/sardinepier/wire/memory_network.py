"""An in-process network for tests.

Messages pass through the same codec as on the real network, so that a message
that cannot be encoded fails in tests too, and bytes are counted alike. One
seeded random source decides on all faults.
"""

import asyncio
import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable, Iterable

from sardinepier.core import clock
from sardinepier.wire import codec, counters, hooks, limits, messages, network
from sardinepier.wire.internal import dispatch


@dataclasses.dataclass(frozen=True, slots=True)
class LinkFaults:
    """Faults that messages are subject to.

    ``loss`` and ``duplicate`` are probabilities from 0.0 to 1.0. ``reorder_s``
    is the maximum of a random delay of each message, so that later ones
    overtake it.
    """

    loss: float = 0.0
    duplicate: float = 0.0
    delay_s: float = 0.0
    reorder_s: float = 0.0


class MemoryHub:
    """Connects the networks of all daemons of a test.

    With ``automatic`` the running event loop delivers each message. Without
    it the test calls :meth:`deliver`, which delivers all messages that are
    due by the clock. For example::

        hub = MemoryHub((Ping,), manual_clock, random.Random(7))
        first = hub.network(first_sender)
        first.send(second_address, Ping(1))
        hub.deliver()
    """

    def __init__(
        self,
        kinds: Iterable[type[messages.Message]],
        time_source: clock.Clock,
        random_source: random.Random,
        *,
        automatic: bool = False,
        max_message_bytes: int = limits.DEFAULT_MAX_MESSAGE_BYTES,
    ) -> None:
        """Transport messages of ``kinds``; start without faults."""
        self.faults = LinkFaults()
        self._codec = codec.Codec(kinds)
        self._clock = time_source
        self._random = random_source
        self._automatic = automatic
        self._max_message_bytes = max_message_bytes
        self._networks: dict[messages.PeerAddress, MemoryNetwork] = {}
        self._cuts: set[tuple[messages.PeerAddress, messages.PeerAddress]] = (
            set()
        )
        self._paused: dict[messages.PeerAddress, list[bytes]] = {}
        self._added_delays_s: dict[messages.PeerAddress, float] = {}
        self._due: list[tuple[float, int, messages.PeerAddress, bytes]] = []
        self._sequence = itertools.count()

    def network(self, sender: messages.Sender) -> 'MemoryNetwork':
        """Return a network for ``sender``; replace any at its address."""
        connected = MemoryNetwork(
            self,
            sender,
            self._codec,
            self._max_message_bytes,
        )
        self._networks[sender.address] = connected
        return connected

    def detach(self, address: messages.PeerAddress) -> None:
        """Disconnect the daemon at ``address``, as a crash does."""
        self._networks.pop(address, None)

    def pause(self, address: messages.PeerAddress) -> None:
        """Buffer all frames that arrive at ``address``."""
        self._paused.setdefault(address, [])

    def resume(self, address: messages.PeerAddress) -> None:
        """Deliver the frames buffered for ``address`` and end the pause."""
        for frame in self._paused.pop(address, []):
            self._receive(address, frame)

    def slow_down(self, source: messages.PeerAddress, wait_s: float) -> None:
        """Delay all messages from ``source`` by ``wait_s``."""
        self._added_delays_s[source] = wait_s

    def cut(
        self,
        source: messages.PeerAddress,
        destination: messages.PeerAddress,
    ) -> None:
        """Drop all messages from ``source`` to ``destination``, one way only."""
        self._cuts.add((source, destination))

    def heal(
        self,
        source: messages.PeerAddress,
        destination: messages.PeerAddress,
    ) -> None:
        """End the cut from ``source`` to ``destination``."""
        self._cuts.discard((source, destination))

    def heal_all(self) -> None:
        """End all cuts."""
        self._cuts.clear()

    def deliver(self) -> int:
        """Deliver all frames that are due now and return their number.

        Replies that handlers send without delay are due at once, and
        delivered in the same call.
        """
        delivered = 0
        while self._due and self._due[0][0] <= self._clock.monotonic_s():
            _, _, address, frame = heapq.heappop(self._due)
            self._receive(address, frame)
            delivered += 1
        return delivered

    def transmit(
        self,
        source: 'MemoryNetwork',
        destination: messages.PeerAddress,
        frame: bytes,
    ) -> None:
        """Schedule one encoded message, subject to cuts and faults."""
        origin = source.sender.address
        if self._networks.get(origin) is not source:
            return
        if (origin, destination) in self._cuts:
            return
        if self._draw(self.faults.loss):
            return
        self._schedule(origin, destination, frame)
        if self._draw(self.faults.duplicate):
            self._schedule(origin, destination, frame)

    def _receive(self, address: messages.PeerAddress, frame: bytes) -> None:
        buffered = self._paused.get(address)
        if buffered is not None:
            buffered.append(frame)
            return
        receiver = self._networks.get(address)
        if receiver is not None:
            receiver.receive(frame)

    def _draw(self, probability: float) -> bool:
        # A disabled fault draws no number, so that a new kind of fault does
        # not change the draws of existing tests.
        return bool(probability) and self._random.random() < probability

    def _schedule(
        self,
        origin: messages.PeerAddress,
        destination: messages.PeerAddress,
        frame: bytes,
    ) -> None:
        wait_s = self.faults.delay_s + self._added_delays_s.get(origin, 0.0)
        if self.faults.reorder_s:
            wait_s += self._random.uniform(0, self.faults.reorder_s)
        due_s = self._clock.monotonic_s() + wait_s
        entry = (due_s, next(self._sequence), destination, frame)
        heapq.heappush(self._due, entry)
        if self._automatic:
            self._deliver_later(wait_s)

    def _deliver_later(self, wait_s: float) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(wait_s, self._deliver_in_loop)

    def _deliver_in_loop(self) -> None:
        self.deliver()
        if self._due:
            # The loop's timer may fire slightly before the clock's due time.
            early_s = self._due[0][0] - self._clock.monotonic_s()
            self._deliver_later(max(early_s, 0.0))


class MemoryNetwork:
    """A ``PeerNetwork`` of one daemon, connected to a :class:`MemoryHub`."""

    def __init__(
        self,
        hub: MemoryHub,
        sender: messages.Sender,
        message_codec: codec.Codec,
        max_message_bytes: int,
    ) -> None:
        """Connect ``sender`` to ``hub``; use ``MemoryHub.network`` instead."""
        self.sender = sender
        self._hub = hub
        self._counts = counters.CounterSet()
        self._dispatcher = dispatch.Dispatcher(
            message_codec,
            self._counts,
            max_message_bytes,
        )

    def use_hooks(self, network_hooks: hooks.NetworkHooks) -> None:
        """Replace the callbacks for stamps, failures and zones."""
        self._dispatcher.hooks = network_hooks
        self._counts.crosses_zones = network_hooks.crosses_zones

    def send(
        self,
        peer: messages.PeerAddress,
        message: messages.Message,
    ) -> bool:
        """Pass the message to the hub; return False if it cannot be sent."""
        if not peer.is_valid():
            self._counts.drop(counters.DropReason.BAD_PEER)
            return False
        frame = self._dispatcher.encode(self.sender, message)
        if frame is None:
            return False
        self._counts.sent(peer, type(message).__name__, len(frame))
        self._hub.transmit(self, peer, frame)
        return True

    def subscribe(
        self,
        kind: type[network.MessageT],
        handler: Callable[[messages.Sender, network.MessageT], None],
    ) -> None:
        """Make ``handler`` the only handler of ``kind``."""
        self._dispatcher.subscribe(kind, handler)

    def receive(self, frame: bytes) -> None:
        """Handle ``frame`` as if it had arrived from the network."""
        self._dispatcher.dispatch(frame)

    def counters(self) -> counters.NetworkCounters:
        """Return the counts of this daemon."""
        return self._counts.snapshot()
