"""Learns from peers of the files that they have newer."""

import asyncio
import dataclasses
import random
from typing import Final

from sardinepier.configuration import files, messages, options, store
from sardinepier.configuration.internal import (
    confirmations,
    peer_choice,
    peer_table,
    pulls,
    store_writer,
)
from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.membership import marks
from sardinepier.wire import messages as wire_messages
from sardinepier.wire import network

_NONCE_BITS: Final = 48
_SHORTEST_S: Final = 0.01
_MOST_ARRIVED: Final = 16
_ASKED_AT_ONCE: Final = 3


@dataclasses.dataclass(frozen=True, slots=True)
class _Arrival:
    source: ids.InstanceId
    answer: messages.FileAnswer


class PeerExchange:
    """Compares with peers and fetches from them what is missing here."""

    def __init__(
        self,
        file_store: store.Store,
        peers: network.PeerNetwork,
        choice: peer_choice.PeerChoice,
        clock: clocks.Clock,
        random_source: random.Random,
        limits: options.DistributorOptions,
        file_intake: store_writer.StoreWriter,
        confirmed: confirmations.Confirmations,
    ) -> None:
        """Subscribe to news and answers; nothing is sent yet."""
        self.last_peer_message_s = clock.monotonic_s()
        self._store = file_store
        self._peers = peers
        self._choice = choice
        self._clock = clock
        self._random = random_source
        self._limits = limits
        self._intake = file_intake
        self._confirmed = confirmed
        self._pulls = pulls.Pulls(peers.send, file_store, clock, limits)
        self._table = peer_table.PeerTable(clock)
        self._asked: dict[int, float] = {}
        self._has_asked = asyncio.Event()
        self._arrived: asyncio.Queue[_Arrival] = asyncio.Queue(_MOST_ARRIVED)
        peers.subscribe(messages.ConfigurationNews, self._on_news)
        peers.subscribe(messages.RevisionTable, self._on_table)
        peers.subscribe(messages.FileAnswer, self._on_file)

    @property
    def is_fetching(self) -> bool:
        """Tell whether files are awaited from peers."""
        return not self._pulls.is_idle

    async def expire(self) -> None:
        """Give up on questions without an answer, until cancelled.

        Sleeps without a timer while no question is open.
        """
        while True:
            await self._has_asked.wait()
            due_s = self._next_due_s()
            if due_s is None:
                self._has_asked.clear()
                continue
            # All questions wait equally long, so a later one is due later.
            wait_s = due_s - self._clock.monotonic_s()
            await asyncio.sleep(max(_SHORTEST_S, wait_s))
            self._forget_overdue()
            self._pulls.expire()

    async def offer_files(self) -> None:
        """Read and offer the files that arrive, until cancelled."""
        while True:
            arrival = await self._arrived.get()
            answer = arrival.answer
            version = files.FileVersion(answer.revision, answer.text)
            await self._intake.offer(answer.name, version, arrival.source)
            self._pulls.arrived(answer.name, answer.revision)
            self._has_asked.set()

    def receive_mark(
        self,
        sender: wire_messages.Sender,
        mark: marks.ConfigurationMark,
    ) -> None:
        """Compare a peer's mark with ours and act on a difference."""
        self.last_peer_message_s = self._clock.monotonic_s()
        if not self._pulls.is_idle:
            # What is on its way may be all that differs.
            return
        ours = self._store.mark()
        match self._table.next_action(sender.address, mark, ours):
            case peer_table.PeerAction.SEND_MARK:
                self._tell(sender.address)
            case peer_table.PeerAction.REQUEST_TABLE:
                self._ask(sender.address)
            case peer_table.PeerAction.NOTHING:
                return

    def query_peers(self) -> bool:
        """Ask a few random peers; return whether there are any."""
        chosen = self._choice.pick(_ASKED_AT_ONCE)
        for peer in chosen:
            self._ask(peer)
        return bool(chosen)

    def _tell(self, peer: wire_messages.PeerAddress) -> None:
        news = messages.ConfigurationNews(self._store.mark(), ())
        self._peers.send(peer, news)

    def _ask(self, peer: wire_messages.PeerAddress) -> None:
        if len(self._asked) >= self._limits.tables_in_flight:
            return
        nonce = self._random.getrandbits(_NONCE_BITS)
        self._asked[nonce] = self._confirmed.now_s()
        self._has_asked.set()
        mark = self._store.mark()
        self._peers.send(peer, messages.RevisionTableRequest(nonce, mark))

    def _next_due_s(self) -> float | None:
        """Return when the next open question is overdue, if there is one."""
        due_s = [
            asked_s + self._limits.answer_timeout_s
            for asked_s in self._asked.values()
        ]
        return min([*due_s, *self._pulls.due_s()], default=None)

    def _forget_overdue(self) -> None:
        oldest_s = self._clock.monotonic_s() - self._limits.answer_timeout_s
        for nonce, asked_s in tuple(self._asked.items()):
            if asked_s <= oldest_s:
                self._asked.pop(nonce)

    def _on_news(
        self,
        sender: wire_messages.Sender,
        news: messages.ConfigurationNews,
    ) -> None:
        if news.changed:
            self.last_peer_message_s = self._clock.monotonic_s()
            self._want(sender, news.changed)
        else:
            self.receive_mark(sender, news.mark)

    def _on_table(
        self,
        sender: wire_messages.Sender,
        table: messages.RevisionTable,
    ) -> None:
        asked_s = self._asked.pop(table.nonce, None)
        if asked_s is None:
            return
        self.last_peer_message_s = self._clock.monotonic_s()
        if self._want(sender, table.entries):
            return
        ours = self._store.mark()
        if table.mark.newest_revision or not ours.newest_revision:
            # A peer that has just started has nothing to compare with.
            self._confirmed.confirm(asked_s)
        self._table.settle(sender.address, table.mark, ours)
        if table.mark != ours:
            self._tell(sender.address)

    def _want(
        self,
        sender: wire_messages.Sender,
        entries: tuple[messages.KnownRevision, ...],
    ) -> bool:
        """Fetch what ``entries`` have over us; return whether it is any."""
        wanted = [entry for entry in entries if self._want_one(sender, entry)]
        self._has_asked.set()
        return bool(wanted)

    def _want_one(
        self,
        sender: wire_messages.Sender,
        entry: messages.KnownRevision,
    ) -> bool:
        in_force = self._store.find(entry.name).in_force_revision
        if entry.deleted and entry.in_force > in_force:
            self._intake.offer_deletion(
                entry.name,
                entry.in_force,
                sender.instance_id,
            )
        return self._pulls.want(entry, sender.address)

    def _on_file(
        self,
        sender: wire_messages.Sender,
        answer: messages.FileAnswer,
    ) -> None:
        """Keep an answer until it is read; drop it when many wait.

        What is dropped is asked for again.
        """
        try:
            self._arrived.put_nowait(_Arrival(sender.instance_id, answer))
        except asyncio.QueueFull:
            return
        self._pulls.mark_received(answer.name)
