"""The exchange of tables, which mends whatever messages were lost."""

import itertools
import random
from collections.abc import Callable, Iterable
from typing import Final

from sardinepier.core import clock
from sardinepier.membership import kinds
from sardinepier.membership.internal import (
    catch_up,
    jittered_interval,
    knowledge,
    record,
)
from sardinepier.wire import messages, network

_MISMATCHES: Final = 2
_MAX_MISMATCHED: Final = 64
_UNANSWERED_ROUNDS: Final = 3


class Sync:
    """Offers digests to one peer now and then, or in turn while they differ.

    A table is never sent whole: the peer answers with the entries of a few
    buckets that differ, and gets back what it lacked of the same buckets. The
    dead are not exchanged as facts. Where one side holds a living member for
    dead it says so as a doubt, and the other side asks that member.
    """

    def __init__(
        self,
        known: knowledge.Knowledge,
        peer_network: network.PeerNetwork,
        time_source: clock.Clock,
        random_source: random.Random,
        on_doubt: Callable[[kinds.MemberUpdate], None],
    ) -> None:
        """Hand doubts about living members to ``on_doubt``."""
        self._known = known
        self._network = peer_network
        self._random = random_source
        self._on_doubt = on_doubt
        self._rounds_left = _UNANSWERED_ROUNDS
        self._catch_up = catch_up.CatchUp(known.bounds, time_source)
        self._wanted: messages.PeerAddress | None = None
        self._mismatches: dict[messages.PeerAddress, int] = {}
        self._pace = jittered_interval.JitteredInterval(
            lambda: known.bounds.current.sync_interval_s,
            time_source,
            random_source,
        )

    def tick(self) -> None:
        """Offer the digests if a difference is known or the time has come."""
        due = self._pace.is_due()
        if self._rounds_left <= 0 and not due:
            return
        peer = self._wanted or self._any_peer()
        if peer is None:
            return
        if due:
            self._pace.renew()
        self._rounds_left -= 1
        self._wanted = None
        self._offer(peer)

    def observe(self, peer: messages.PeerAddress, digest: int) -> None:
        """Compare the digest on an ack; a lasting difference starts a round.

        One difference alone is common: news is on its way. Whoever has just
        started asks the first that answers, at once.
        """
        if self._catch_up.may_begin():
            self._offer(peer)
        if digest == self._known.table.digests.total():
            self._mismatches.pop(peer, None)
            return
        count = self._mismatches.pop(peer, 0) + 1
        if count < _MISMATCHES:
            self._mismatches[peer] = count
            if len(self._mismatches) > _MAX_MISMATCHED:
                self._mismatches.pop(next(iter(self._mismatches)))
        else:
            self._want(peer)

    def on_offer(
        self,
        sender: messages.Sender,
        offer: kinds.SyncOffer,
    ) -> None:
        """Answer with entries that differ, within the bound of a second."""
        if self._known.gossip.budget.entries_left() <= 0:
            return
        differing = self._known.table.digests.differing(offer.digests)
        chosen = self._choose_buckets(differing)
        entries = [held for bucket in chosen.values() for held in bucket]
        self._known.gossip.budget.spend_entries(len(entries))
        self._network.send(
            sender.address,
            kinds.SyncEntries(
                tuple(chosen),
                self._known.gossip.updates(entries[: kinds.MAX_UPDATES]),
            ),
        )

    def on_entries(
        self,
        sender: messages.Sender,
        entries: kinds.SyncEntries,
    ) -> None:
        """Take over entries and return what the sender lacks."""
        self._rounds_left = 0
        if not entries.buckets:
            return
        doubts = self._doubts(entries.updates)
        learnt = self._learn(sender, entries.updates)
        lacking = self._lacking(entries)
        self._send_patch(sender, lacking, doubts)
        if learnt:
            self._want(sender.address)
            if self._catch_up.may_go_on():
                self._offer(self._any_peer())

    def on_patch(
        self,
        sender: messages.Sender,
        patch: kinds.SyncPatch,
    ) -> None:
        """Take over what this side lacked, and look into doubts."""
        doubts = self._doubts(patch.updates)
        self._learn(sender, patch.updates)
        self._send_patch(sender, (), doubts)
        for claim in patch.doubts:
            if claim.instance_id == self._known.table.own.instance_id:
                self._known.learn((claim,), believed=True)
            else:
                self._on_doubt(claim)

    def _offer(self, peer: messages.PeerAddress | None) -> None:
        if peer is not None:
            self._network.send(
                peer,
                kinds.SyncOffer(self._known.table.digests.encode()),
            )

    def _want(self, peer: messages.PeerAddress) -> None:
        self._wanted = peer
        self._rounds_left = _UNANSWERED_ROUNDS

    def _any_peer(self) -> messages.PeerAddress | None:
        peers = self._known.table.peers()
        if not peers:
            return None
        return self._random.choice(peers).identity.peer_address

    def _choose_buckets(
        self,
        differing: list[int],
    ) -> dict[int, list[record.Record]]:
        # In random order, so that many offers at once get different parts.
        self._random.shuffle(differing)
        chosen: dict[int, list[record.Record]] = {}
        left = self._known.gossip.budget.entries_left()
        grouped = self._in_buckets(differing)
        for bucket in differing:
            entries = grouped[bucket]
            if chosen and len(entries) > left:
                break
            chosen[bucket] = entries
            left -= len(entries)
        return chosen

    def _in_buckets(
        self,
        buckets: Iterable[int],
    ) -> dict[int, list[record.Record]]:
        grouped: dict[int, list[record.Record]] = {
            bucket: [] for bucket in buckets
        }
        for entry in self._known.table.entries():
            group = grouped.get(entry.bucket)
            if group is not None:
                group.append(entry.record)
        return grouped

    def _learn(
        self,
        sender: messages.Sender,
        updates: Iterable[kinds.MemberUpdate],
    ) -> bool:
        believed = self._known.record_contact(sender)
        return self._known.learn(updates, believed=believed, spread=False)

    def _lacking(
        self,
        entries: kinds.SyncEntries,
    ) -> tuple[kinds.MemberUpdate, ...]:
        theirs = {
            update.instance_id: (update.incarnation, update.leaving)
            for update in entries.updates
        }
        lacking = (
            held
            for group in self._in_buckets(entries.buckets).values()
            for held in group
            if theirs.get(held.instance_id, (-1, False))
            < (held.incarnation, held.leaving)
        )
        allowed = self._known.gossip.budget.entries_left()
        updates = self._known.gossip.updates(itertools.islice(lacking, allowed))
        self._known.gossip.budget.spend_entries(len(updates))
        return updates

    def _doubts(
        self,
        updates: Iterable[kinds.MemberUpdate],
    ) -> tuple[kinds.MemberUpdate, ...]:
        held_dead = (
            held
            for update in updates
            if (held := self._known.table.get(update.instance_id))
            and held.is_dead
            and held.incarnation >= update.incarnation
        )
        return self._known.gossip.updates(held_dead)

    def _send_patch(
        self,
        sender: messages.Sender,
        updates: tuple[kinds.MemberUpdate, ...],
        doubts: tuple[kinds.MemberUpdate, ...],
    ) -> None:
        if updates or doubts:
            self._network.send(
                sender.address,
                kinds.SyncPatch(updates=updates, doubts=doubts),
            )
