"""The membership of one daemon: a view of the fleet that keeps itself true.

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

_FEW_PEERS: Final = 3


class Membership:
    """A ``View`` fed by heartbeats, news and exchanges of tables.

    All work is done in :meth:`tick` and in the handlers of messages. A test
    may call :meth:`tick` itself; :meth:`run` calls it once an interval.
    """

    def __init__(
        self,
        own: model.Member,
        peer_network: network.PeerNetwork,
        time_source: clock.Clock,
        random_source: random.Random,
        bounds: options.MembershipOptions,
        mark_source: Callable[[], marks.ConfigurationMark],
        on_mark: Callable[[messages.Sender, marks.ConfigurationMark], None],
        on_event: Callable[[events.MemberEvent], None],
    ) -> None:
        """Know only ``own``, and listen on ``peer_network``.

        ``mark_source`` gives the mark for each heartbeat, ``on_mark`` is told
        that of each heartbeat heard, and ``on_event`` each change.
        """
        self._clock = time_source
        self._on_mark = on_mark
        self._known = knowledge.Knowledge(
            record.from_member(own),
            bounds,
            contacts.Contacts(
                own.peer_address,
                random_source,
                bounds.max_contacts,
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
        self._paused_after_s = time_source.monotonic_s() + bounds.pause_gap_s
        self._schedule = schedule.Schedule(random_source)
        self._shown = member_cache.MemberCache(self._known.table)
        self._subscribe(peer_network)

    @property
    def own(self) -> model.Member:
        """This daemon, as it stands in its own view."""
        return record.to_member(self._known.table.own)

    @property
    def version(self) -> int:
        """A number that grows with every change of the view."""
        return self._known.table.version

    def members(self) -> tuple[model.Member, ...]:
        """Return all members but the dead ones, by name."""
        return self._shown.living()

    def serving(self) -> tuple[model.Member, ...]:
        """Return the members in state ALIVE, by name."""
        return self._shown.serving()

    def find(self, instance_id: ids.InstanceId) -> model.Member | None:
        """Return the member of that name in any state, if it is known."""
        held = self._known.table.get(instance_id)
        return record.to_member(held) if held else None

    def configure(self, bounds: options.MembershipOptions) -> None:
        """Put other options in force at any moment, without losing state.

        Daemons with different options may live side by side while a change
        spreads. ``dead_keep_s``, ``max_dead`` and ``max_contacts`` stay as
        they were given at the start. For example::

            membership.configure(
                options.MembershipOptions(heartbeat_interval_s=0.5),
            )
        """
        former = self._known.bounds.current
        if bounds == former:
            return
        suspicions.configure(self._known, bounds, self._clock)
        # The gap that is under way may last until the former interval ends.
        longer_s = bounds.pause_gap_s - former.pause_gap_s
        self._paused_after_s += max(longer_s, 0)
        self._schedule.bring_forward(bounds.heartbeat_interval_s)

    def seed(self, addresses: Iterable[messages.PeerAddress]) -> None:
        """Replace the addresses to try where no living member is known.

        They are tried slowly and never overrule what peers say.
        """
        self._known.contacts.seed(addresses)

    def announce_leaving(self) -> None:
        """Tell the peers at once that this instance leaves, for good."""
        self._known.announce_leaving()
        self._heartbeat.probe_again()

    def confirm_since(self, moment_s: float) -> bool:
        """Tell whether peers answered what was sent after ``moment_s``.

        One peer is enough in a small fleet, two in a larger one. True at
        once when no peer and no address to try is known. The caller bounds
        its wait: a daemon that is cut off never gets a confirmation.
        """
        peer_count = self._known.table.live_count - 1
        if not peer_count and not self._known.contacts:
            return True
        needed = 1 if peer_count <= _FEW_PEERS else 2
        return self._heartbeat.recent_answers.answered_since(moment_s) >= needed

    def refresh(self) -> None:
        """Probe the monitored peers now, without waiting for the tick.

        May be called as often as one likes: at most four times an interval
        anything is sent.
        """
        self._heartbeat.probe_again()

    def tick(self) -> None:
        """Do the work of one heartbeat interval."""
        now_s = self._clock.monotonic_s()
        if now_s > self._paused_after_s:
            # Whoever seems overdue may have answered while this slept.
            suspicions.extend(self._known, self._clock)
            self._heartbeat.resume_after_pause()
        self._paused_after_s = now_s + self._known.bounds.current.pause_gap_s
        self._heartbeat.tick()
        self._sync.tick()

    async def run(self) -> None:
        """Tick once an interval until cancelled.

        The first wait is random, so that daemons started together don't send
        together.
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
        _learn(self._known, sender, probe.updates)
        self._heartbeat.on_probe(sender, probe)
        self._on_mark(sender, probe.mark)

    def _on_ack(self, sender: messages.Sender, ack: kinds.Ack) -> None:
        _learn(self._known, sender, ack.updates)
        self._heartbeat.on_ack(sender, ack)
        self._sync.observe(sender.address, ack.digest)
        self._on_mark(sender, ack.mark)


def _learn(
    known: knowledge.Knowledge,
    sender: messages.Sender,
    updates: tuple[kinds.MemberUpdate, ...],
) -> None:
    believed = known.record_contact(sender)
    known.learn(updates, believed=believed)
