"""What daemons know of the platform after starts, refusals, cuts and changes.

A daemon that has run for ``STABLE_S`` and that the platform has served all the
while knows each change within ``APPLY_S``, whatever the others can read.
"""

import enum
import random

import pytest
import zones_support as support

APPLY_S = 2.0
STABLE_S = 3.0
COUNT = 6
STEP_S = 0.25
EVENTS = 40


class Event(enum.Enum):
    PUBLISH = 'publish'
    REFUSE = 'refuse'
    SERVE_ALL = 'serve_all'
    RESTART = 'restart_some'
    CUT = 'cut'
    HEAL = 'heal'


class SlowEvent(enum.Enum):
    """What happens beside these events to a platform that is slow for some."""

    SLOW = 'slow'
    FAST = 'fast'


class FrozenEvent(enum.Enum):
    """What stops daemons for a while that then go on with what they had."""

    FREEZE = 'freeze'
    THAW = 'thaw'


USUAL_EVENTS = tuple(Event)


class Trial:
    """A zone under random events, and when each daemon was last disturbed."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.zone = support.Zone(COUNT)
        self.disturbed_s = {daemon.own: 0.0 for daemon in self.zone.daemons}
        self.published = []
        self.late = []
        self.publish()

    def now_s(self):
        return self.zone.clock.monotonic_s()

    def publish(self):
        version = len(self.published) + 1
        self.published.append(self.now_s())
        self.zone.platform.configuration = support.configuration(version)
        self.zone.platform.targets = support.target_list(version, 't1')

    def restart(self, daemon):
        self.zone.hub.detach(daemon.own.peer_address)
        position = self.zone.daemons.index(daemon)
        self.zone.daemons[position] = support.Daemon(self.zone, daemon.own)
        self.disturbed_s[daemon.own] = self.now_s()

    def apply(self, event):
        getattr(self, event.value)()

    def refuse(self):
        share = self.random.choice((0.2, 0.35, 0.8))
        self.zone.platform.refused = {
            daemon.own.daemon_id
            for daemon in self.zone.daemons
            if self.random.random() < share
        }

    def serve_all(self):
        self.zone.platform.refused = set()

    def restart_some(self):
        share = self.random.choice((0.2, 1.0))
        for daemon in tuple(self.zone.daemons):
            if self.random.random() < share:
                self.restart(daemon)

    def cut(self):
        one, other = self.random.sample(self.zone.daemons, 2)
        self.zone.hub.cut(one.own.peer_address, other.own.peer_address)

    def heal(self):
        self.zone.hub.heal_all()

    def slow(self):
        self.zone.platform.transfer_s = {
            daemon.own.daemon_id: self.random.choice((0.1, 0.25, 0.5))
            for daemon in self.zone.daemons
            if self.random.random() < 0.35
        }

    def fast(self):
        self.zone.platform.transfer_s = {}

    def freeze(self):
        """Stop the daemon that reads, or any; its messages are lost."""
        frozen = self.random.choice((self.zone.carrier(), *self.zone.daemons))
        self.zone.stop(frozen)
        for other in self.zone.daemons:
            if other is not frozen:
                self.zone.hub.cut(
                    frozen.own.peer_address, other.own.peer_address
                )

    def thaw(self):
        self.zone.stopped.clear()
        self.heal()

    async def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            platform = self.zone.platform
            for daemon in self.zone.daemons:
                is_unserved = daemon.own.daemon_id in (
                    *platform.refused,
                    *platform.transfer_s,
                )
                is_frozen = daemon.own.instance_id in self.zone.stopped
                if is_unserved or is_frozen:
                    self.disturbed_s[daemon.own] = self.now_s()
            await self.zone.run(STEP_S)
            self.check()

    def check(self):
        due = sum(at_s <= self.now_s() - APPLY_S for at_s in self.published)
        for daemon in self.zone.daemons:
            calm_s = self.now_s() - self.disturbed_s[daemon.own]
            known = daemon.version or 0
            if calm_s > STABLE_S and known < due:
                self.late.append((self.now_s(), daemon.own.daemon_id, known))


async def run_trial(seed, events):
    trial = Trial(seed)
    await trial.run(STABLE_S)
    for _ in range(EVENTS):
        trial.apply(trial.random.choice(events))
        await trial.run(trial.random.choice((0.25, 0.5, 1.0, 4.0)))
    await trial.run(APPLY_S + STABLE_S)
    return trial.late


@pytest.mark.parametrize('seed', [*range(30), 1108, 1276])
async def test_who_is_served_by_the_platform_knows_each_change(seed):
    # In seeds 1108 and 1276 a daemon that is cut off from the one that reads
    # waited too long after the platform had turned it away.
    assert not await run_trial(seed, USUAL_EVENTS)


@pytest.mark.parametrize('seed', [*range(10), 188])
async def test_a_platform_that_is_slow_for_some_delays_no_others(seed):
    # Guards against a daemon that takes the age of another one's news for that of
    # its own: in seed 188 its requests for them are lost.
    assert not await run_trial(seed, (*USUAL_EVENTS, *SlowEvent))


@pytest.mark.parametrize('seed', range(10))
async def test_daemons_that_freeze_and_go_on_delay_no_others(seed):
    # Guards against daemons that rely on the news of a reader that is frozen,
    # and against one that goes on and announces what it had.
    assert not await run_trial(seed, (*USUAL_EVENTS, *FrozenEvent))


@pytest.mark.parametrize('refused', [1, 2, 4])
async def test_a_zone_starts_without_its_first_daemon(refused):
    # Guards against a zone that keeps the configuration and targets of its
    # start while the platform turns its first daemon away.
    zone = support.Zone(COUNT)
    zone.platform.configuration = support.configuration(1)
    zone.platform.targets = support.target_list(1, 't1', 't2')
    order = zone.carrier().carriers._order.own_zone(1)
    zone.platform.refused = {member.daemon_id for member in order[:refused]}
    await zone.run(1.0)
    zone.platform.configuration = support.configuration(2)
    zone.platform.targets = support.target_list(2, 't1')
    await zone.run(APPLY_S)
    assert {daemon.version for daemon in zone.daemons} == {2}
    assert {frozenset(daemon.target_names) for daemon in zone.daemons} == {
        frozenset(('t1',)),
    }


async def test_a_daemon_whose_requests_are_lost_reads_for_itself():
    # Guards against a daemon that hears how fresh the news of others are, and
    # keeps its own old configuration.
    zone = support.Zone(COUNT)
    zone.platform.configuration = support.configuration(1)
    zone.platform.targets = support.target_list(1, 't1')
    await zone.run(STABLE_S)
    lagging = max(zone.daemons, key=lambda each: each.carriers.own_rank())
    zone.platform.configuration = support.configuration(2)
    for other in zone.daemons:
        if other is not lagging:
            zone.hub.cut(lagging.own.peer_address, other.own.peer_address)
            # The news to the lagging daemon were lost.
            other.services.offer_configuration(zone.platform.configuration)
    await zone.run(APPLY_S)
    assert lagging.version == 2


async def test_few_daemons_read_as_a_zone_starts():
    zone = support.Zone(20)
    zone.platform.configuration = support.configuration(1)
    zone.platform.targets = support.target_list(1, 't1')
    await zone.run(3.0)
    assert zone.platform.fresh_calls <= 5
