"""The membership of one daemon: a view of the fleet that updates itself.

For example::

    membership = Membership(
        own, network, clock, random.Random(), MembershipOptions(),
        store.mark, distributor.receive_mark, timeline.record,
    )
    membership.seed(addresses)
    await membership.run()
"""

import random
from collections.abc import Callable, Iterable
from typing import Final

from sardinepier.core import clock, ids
from sardinepier.membership import events, kinds, marks, options
from sardinepier.membership import members as model
from sardinepier.membership.internal import (
    contacts,
    heartbeat,
    knowledge,
    member_cache,
    record,
    schedule,
    suspicions,
    sync,
)
from sardinepier.wire import messages, network

_SMALL_FLEET_PEERS: Final = 3


class Membership:
    """A ``View`` maintained by heartbeats, gossip and table exchanges.

    All work is done in :meth:`tick` and in the message handlers. :meth:`run`
    calls :meth:`tick` once per interval; a test may call it directly.
    """

    def __init__(
        self,
        own: model.Member,
        peer_network: network.PeerNetwork,
        time_source: clock.Clock,
        random_source: random.Random,
        membership_options: options.MembershipOptions,
        mark_source: Callable[[], marks.ConfigurationMark],
        on_mark: Callable[[messages.Sender, marks.ConfigurationMark], None],
        on_event: Callable[[events.MemberEvent], None],
    ) -> None:
        """Start with ``own`` as the only member; subscribe to messages.

        ``mark_source`` returns the mark to send with each heartbeat.
        ``on_mark`` is called with the mark of each received heartbeat, and
        ``on_event`` with each change of a member.
        """
        self._clock = time_source
        self._on_mark = on_mark
        self._known = knowledge.Knowledge(
            record.from_member(own),
            membership_options,
            contacts.Contacts(
                own.peer_address,
                random_source,
                membership_options.max_contacts,
            ),
            time_source,
            on_event,
        )
        self._heartbeat = heartbeat.Heartbeat(
            self._known,
            peer_network,
            time_source,
            random_source,
            mark_source,
        )
        self._sync = sync.Sync(
            self._known,
            peer_network,
            time_source,
            random_source,
            self._heartbeat.check,
        )
        self._paused_after_s = (
            time_source.monotonic_s() + membership_options.pause_gap_s
        )
        self._schedule = schedule.Schedule(random_source)
        self._member_cache = member_cache.MemberCache(self._known.table)
        self._subscribe(peer_network)

    @property
    def own(self) -> model.Member:
        """This daemon, as its own view shows it."""
        return record.to_member(self._known.table.own)

    @property
    def version(self) -> int:
        """A number that increases with every change of the view."""
        return self._known.table.version

    def members(self) -> tuple[model.Member, ...]:
        """Return all members except dead ones, sorted by instance id."""
        return self._member_cache.living()

    def serving(self) -> tuple[model.Member, ...]:
        """Return the members in state ALIVE, sorted by instance id."""
        return self._member_cache.serving()

    def find(self, instance_id: ids.InstanceId) -> model.Member | None:
        """Return the member with this id in any state, or None if unknown."""
        found = self._known.table.get(instance_id)
        return record.to_member(found) if found else None

    def configure(self, membership_options: options.MembershipOptions) -> None:
        """Replace the options at any time, without losing state.

        Daemons with different options may coexist while a change propagates.
        ``dead_keep_s``, ``max_dead`` and ``max_contacts`` keep the values
        that they had at construction. For example::

            membership.configure(
                options.MembershipOptions(heartbeat_interval_s=0.5),
            )
        """
        previous = self._known.options.current
        if membership_options == previous:
            return
        suspicions.configure(self._known, membership_options, self._clock)
        # The current wait may still last as long as the previous interval.
        gained_s = membership_options.pause_gap_s - previous.pause_gap_s
        self._paused_after_s += max(gained_s, 0)
        self._schedule.bring_forward(membership_options.heartbeat_interval_s)

    def seed(self, addresses: Iterable[messages.PeerAddress]) -> None:
        """Replace the seed addresses, probed where no living member is known.

        They are probed at a low rate and never override updates from peers.
        """
        self._known.contacts.seed(addresses)

    def announce_leaving(self) -> None:
        """Announce to the peers at once that this instance leaves for good."""
        self._known.announce_leaving()
        self._heartbeat.probe_again()

    def confirm_since(self, moment_s: float) -> bool:
        """Return whether peers answered probes sent after ``moment_s``.

        One peer suffices in a fleet of up to four daemons, two are needed in
        a larger one. Returns True if neither a peer nor an address to probe
        is known. The caller must bound its wait, because a daemon that is cut
        off from the fleet never gets a confirmation.
        """
        peer_count = self._known.table.live_count - 1
        if not peer_count and not self._known.contacts:
            return True
        needed = 1 if peer_count <= _SMALL_FLEET_PEERS else 2
        return self._heartbeat.recent_answers.answered_since(moment_s) >= needed

    def refresh(self) -> None:
        """Probe the monitored peers now, without waiting for the next tick.

        May be called at any rate; probes are sent at most four times per
        interval.
        """
        self._heartbeat.probe_again()

    def tick(self) -> None:
        """Do the work of one heartbeat interval."""
        now_s = self._clock.monotonic_s()
        if now_s > self._paused_after_s:
            # Peers that seem overdue may have answered during the pause.
            suspicions.extend(self._known, self._clock)
            self._heartbeat.resume_after_pause()
        self._paused_after_s = now_s + self._known.options.current.pause_gap_s
        self._heartbeat.tick()
        self._sync.tick()

    async def run(self) -> None:
        """Tick once per interval until cancelled.

        The first wait is random, so that daemons started together do not
        send at the same moments.
        """
        self._schedule.start(schedule.interval_s(self._known))
        while True:
            await self._schedule.wait()
            self.tick()
            self._schedule.next(schedule.interval_s(self._known))

    def _subscribe(self, peer_network: network.PeerNetwork) -> None:
        beat = self._heartbeat
        peer_network.subscribe(kinds.Probe, self._on_probe)
        peer_network.subscribe(kinds.Ack, self._on_ack)
        peer_network.subscribe(kinds.IndirectProbe, beat.on_indirect_probe)
        peer_network.subscribe(kinds.IndirectAck, beat.on_indirect_ack)
        peer_network.subscribe(kinds.SyncOffer, self._sync.on_offer)
        peer_network.subscribe(kinds.SyncEntries, self._sync.on_entries)
        peer_network.subscribe(kinds.SyncPatch, self._sync.on_patch)

    def _on_probe(self, sender: messages.Sender, probe: kinds.Probe) -> None:
        _apply_updates(self._known, sender, probe.updates)
        self._heartbeat.on_probe(sender, probe)
        self._on_mark(sender, probe.mark)

    def _on_ack(self, sender: messages.Sender, ack: kinds.Ack) -> None:
        _apply_updates(self._known, sender, ack.updates)
        self._heartbeat.on_ack(sender, ack)
        self._sync.compare_digest(sender.address, ack.digest)
        self._on_mark(sender, ack.mark)


def _apply_updates(
    known: knowledge.Knowledge,
    sender: messages.Sender,
    updates: tuple[kinds.MemberUpdate, ...],
) -> None:
    trusted = known.record_contact(sender)
    known.apply_updates(updates, trusted=trusted)
