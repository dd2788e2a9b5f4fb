"""Fetches newer file versions from peers."""

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
_MIN_SLEEP_S: Final = 0.01
_MAX_QUEUED_FILES: Final = 16
_QUERIED_PEERS: Final = 3


@dataclasses.dataclass(frozen=True, slots=True)
class _ReceivedFile:
    source: ids.InstanceId
    answer: messages.FileAnswer


class PeerExchange:
    """Compares marks with peers and fetches the versions missing here."""

    def __init__(
        self,
        file_store: store.Store,
        peers: network.PeerNetwork,
        choice: peer_choice.PeerChoice,
        clock: clocks.Clock,
        random_source: random.Random,
        limits: options.DistributorOptions,
        file_writer: store_writer.StoreWriter,
        file_confirmations: confirmations.Confirmations,
    ) -> None:
        """Subscribe to announcements and answers; nothing is sent yet."""
        self.last_peer_message_s = clock.monotonic_s()
        self._store = file_store
        self._peers = peers
        self._choice = choice
        self._clock = clock
        self._random = random_source
        self._limits = limits
        self._writer = file_writer
        self._confirmations = file_confirmations
        self._pulls = pulls.Pulls(peers.send, file_store, clock, limits)
        self._peer_comparisons = peer_table.PeerTable(clock)
        self._table_requests: dict[int, float] = {}
        self._has_requests = asyncio.Event()
        self._received: asyncio.Queue[_ReceivedFile] = asyncio.Queue(
            _MAX_QUEUED_FILES,
        )
        peers.subscribe(messages.ConfigurationNews, self._on_announcement)
        peers.subscribe(messages.RevisionTable, self._on_table)
        peers.subscribe(messages.FileAnswer, self._on_file)

    @property
    def is_fetching(self) -> bool:
        """Return whether files are being fetched from peers."""
        return not self._pulls.is_idle

    async def expire(self) -> None:
        """Drop requests without an answer in time, until cancelled.

        Sets no timer while no request is in flight.
        """
        while True:
            await self._has_requests.wait()
            due_s = self._next_due_s()
            if due_s is None:
                self._has_requests.clear()
                continue
            # All requests have the same timeout, so later ones expire later.
            wait_s = due_s - self._clock.monotonic_s()
            await asyncio.sleep(max(_MIN_SLEEP_S, wait_s))
            self._drop_expired()
            self._pulls.expire()

    async def offer_files(self) -> None:
        """Parse and offer the files received, until cancelled."""
        while True:
            received = await self._received.get()
            answer = received.answer
            version = files.FileVersion(answer.revision, answer.text)
            await self._writer.offer(answer.name, version, received.source)
            self._pulls.record_offered(answer.name, answer.revision)
            self._has_requests.set()

    def receive_mark(
        self,
        sender: wire_messages.Sender,
        mark: marks.ConfigurationMark,
    ) -> None:
        """Compare a peer's mark with the own mark and act on a difference."""
        self.last_peer_message_s = self._clock.monotonic_s()
        if not self._pulls.is_idle:
            # The files being fetched may be the whole difference.
            return
        own_mark = self._store.mark()
        match self._peer_comparisons.next_action(
            sender.address, mark, own_mark
        ):
            case peer_table.PeerAction.SEND_MARK:
                self._send_mark(sender.address)
            case peer_table.PeerAction.REQUEST_TABLE:
                self._request_table(sender.address)
            case peer_table.PeerAction.NOTHING:
                return

    def query_peers(self) -> bool:
        """Request the tables of a few random peers; return whether any exist."""
        peers = self._choice.pick(_QUERIED_PEERS)
        for peer in peers:
            self._request_table(peer)
        return bool(peers)

    def _send_mark(self, peer: wire_messages.PeerAddress) -> None:
        announcement = messages.ConfigurationNews(self._store.mark(), ())
        self._peers.send(peer, announcement)

    def _request_table(self, peer: wire_messages.PeerAddress) -> None:
        if len(self._table_requests) >= self._limits.tables_in_flight:
            return
        nonce = self._random.getrandbits(_NONCE_BITS)
        self._table_requests[nonce] = self._confirmations.now_s()
        self._has_requests.set()
        mark = self._store.mark()
        self._peers.send(peer, messages.RevisionTableRequest(nonce, mark))

    def _next_due_s(self) -> float | None:
        """Return when the next request in flight expires, or ``None``."""
        due_s = [
            requested_s + self._limits.answer_timeout_s
            for requested_s in self._table_requests.values()
        ]
        return min([*due_s, *self._pulls.deadlines_s()], default=None)

    def _drop_expired(self) -> None:
        expired_s = self._clock.monotonic_s() - self._limits.answer_timeout_s
        for nonce, requested_s in tuple(self._table_requests.items()):
            if requested_s <= expired_s:
                self._table_requests.pop(nonce)

    def _on_announcement(
        self,
        sender: wire_messages.Sender,
        announcement: messages.ConfigurationNews,
    ) -> None:
        if announcement.changed:
            self.last_peer_message_s = self._clock.monotonic_s()
            self._fetch_newer(sender, announcement.changed)
        else:
            self.receive_mark(sender, announcement.mark)

    def _on_table(
        self,
        sender: wire_messages.Sender,
        table: messages.RevisionTable,
    ) -> None:
        requested_s = self._table_requests.pop(table.nonce, None)
        if requested_s is None:
            return
        self.last_peer_message_s = self._clock.monotonic_s()
        if self._fetch_newer(sender, table.entries):
            return
        own_mark = self._store.mark()
        if table.mark.newest_revision or not own_mark.newest_revision:
            # The empty table of a peer that just started proves nothing.
            self._confirmations.confirm(requested_s)
        self._peer_comparisons.settle(sender.address, table.mark, own_mark)
        if table.mark != own_mark:
            self._send_mark(sender.address)

    def _fetch_newer(
        self,
        sender: wire_messages.Sender,
        entries: tuple[messages.KnownRevision, ...],
    ) -> bool:
        """Fetch the entries newer than here; return whether there are any."""
        newer = [entry for entry in entries if self._fetch_entry(sender, entry)]
        self._has_requests.set()
        return bool(newer)

    def _fetch_entry(
        self,
        sender: wire_messages.Sender,
        entry: messages.KnownRevision,
    ) -> bool:
        in_force = self._store.find(entry.name).in_force_revision
        if entry.deleted and entry.in_force > in_force:
            self._writer.offer_deletion(
                entry.name,
                entry.in_force,
                sender.instance_id,
            )
        return self._pulls.request(entry, sender.address)

    def _on_file(
        self,
        sender: wire_messages.Sender,
        answer: messages.FileAnswer,
    ) -> None:
        """Queue an answer for parsing; drop it if the queue is full.

        A dropped file is requested again after its timeout.
        """
        try:
            self._received.put_nowait(
                _ReceivedFile(sender.instance_id, answer),
            )
        except asyncio.QueueFull:
            return
        self._pulls.mark_received(answer.name)
