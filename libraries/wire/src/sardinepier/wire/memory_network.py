"""A network inside one process, for tests of what runs over the real one.

Messages pass through the same codec as on the real network, so that what
cannot be encoded fails in tests too and bytes are counted alike. All faults
come from one seeded random source.
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
    """What may happen to a message on its way; shares lie in 0.0 to 1.0.

    ``reorder_s`` adds a random wait of up to that long to each message, so
    that later ones overtake it.
    """

    loss: float = 0.0
    duplicate: float = 0.0
    delay_s: float = 0.0
    reorder_s: float = 0.0


class MemoryHub:
    """Joins the networks of all daemons that a test runs.

    With ``automatic`` each message is delivered by the running event loop.
    Without it the test calls :meth:`deliver`, which hands over all that is
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
        """Carry messages of ``kinds``; start with no faults."""
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
        self._transfers_s: dict[messages.PeerAddress, float] = {}
        self._due: list[tuple[float, int, messages.PeerAddress, bytes]] = []
        self._sequence = itertools.count()

    def network(self, sender: messages.Sender) -> 'MemoryNetwork':
        """Return a network for ``sender``, instead of any at its address."""
        joined = MemoryNetwork(
            self,
            sender,
            self._codec,
            self._max_message_bytes,
        )
        self._networks[sender.address] = joined
        return joined

    def detach(self, address: messages.PeerAddress) -> None:
        """Take the daemon at ``address`` off the network, as a crash does."""
        self._networks.pop(address, None)

    def pause(self, address: messages.PeerAddress) -> None:
        """Hold back all that arrives at ``address``, as in its buffers."""
        self._paused.setdefault(address, [])

    def resume(self, address: messages.PeerAddress) -> None:
        """Hand over what was held back for ``address``, and go on."""
        for frame in self._paused.pop(address, []):
            self._receive(address, frame)

    def slow_down(self, source: messages.PeerAddress, wait_s: float) -> None:
        """Let all that ``source`` sends arrive so much later."""
        self._transfers_s[source] = wait_s

    def cut(
        self,
        source: messages.PeerAddress,
        destination: messages.PeerAddress,
    ) -> None:
        """Lose all that ``source`` sends to ``destination``; one way only."""
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
        """Take all that is due now to its end, and return how many.

        Replies which handlers send at once are due at once, and delivered in
        the same call.
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
        """Take one encoded message on its way, subject to cuts and faults."""
        origin = source.sender.address
        if self._networks.get(origin) is not source:
            return
        if (origin, destination) in self._cuts:
            return
        if self._happens(self.faults.loss):
            return
        self._schedule(origin, destination, frame)
        if self._happens(self.faults.duplicate):
            self._schedule(origin, destination, frame)

    def _receive(self, address: messages.PeerAddress, frame: bytes) -> None:
        held_back = self._paused.get(address)
        if held_back is not None:
            held_back.append(frame)
            return
        receiver = self._networks.get(address)
        if receiver is not None:
            receiver.receive(frame)

    def _happens(self, share: float) -> bool:
        # No draw without a fault, so that adding one keeps other draws.
        return bool(share) and self._random.random() < share

    def _schedule(
        self,
        origin: messages.PeerAddress,
        destination: messages.PeerAddress,
        frame: bytes,
    ) -> None:
        wait_s = self.faults.delay_s + self._transfers_s.get(origin, 0.0)
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
            # The loop's timer may end a moment before the clock is there.
            early_s = self._due[0][0] - self._clock.monotonic_s()
            self._deliver_later(max(early_s, 0.0))


class MemoryNetwork:
    """One daemon's end of a :class:`MemoryHub`; a ``PeerNetwork``."""

    def __init__(
        self,
        hub: MemoryHub,
        sender: messages.Sender,
        message_codec: codec.Codec,
        max_message_bytes: int,
    ) -> None:
        """Join ``hub`` as ``sender``; use ``MemoryHub.network`` instead."""
        self.sender = sender
        self._hub = hub
        self._counts = counters.CounterSet()
        self._dispatcher = dispatch.Dispatcher(
            message_codec,
            self._counts,
            max_message_bytes,
        )

    def use_hooks(self, network_hooks: hooks.NetworkHooks) -> None:
        """Replace the callbacks for stamps and failures."""
        self._dispatcher.hooks = network_hooks

    def send(
        self,
        peer: messages.PeerAddress,
        message: messages.Message,
    ) -> bool:
        """Give the message to the hub; False only when it cannot go out."""
        if not peer.is_valid():
            self._counts.drop(counters.DropReason.BAD_PEER)
            return False
        frame = self._dispatcher.encode(self.sender, message)
        if frame is None:
            return False
        self._counts.sent(len(frame))
        self._hub.transmit(self, peer, frame)
        return True

    def subscribe(
        self,
        kind: type[network.MessageT],
        handler: Callable[[messages.Sender, network.MessageT], None],
    ) -> None:
        """Make ``handler`` the one handler of ``kind``."""
        self._dispatcher.subscribe(kind, handler)

    def receive(self, frame: bytes) -> None:
        """Handle bytes as if they had arrived from the network."""
        self._dispatcher.dispatch(frame)

    def counters(self) -> counters.NetworkCounters:
        """Return the counts of this daemon's end."""
        return self._counts.snapshot()
