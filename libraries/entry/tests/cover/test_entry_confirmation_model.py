"""Exhaustive model check of confirmations over short histories of events.

One daemon requests snapshots from the platform, another one requests
confirmations from the first, and each may be suspended or restarted. For any
order of events, a daemon whose configuration counts as confirmed has each
version that was acknowledged longer ago than the bound. Mutations check the
model itself: each violates this rule in some history.
"""

import enum
import itertools

import pytest

from sardinepier.core import clock as clocks
from sardinepier.entry import confirmation

BOUND_S = 5.0
STEP_S = 3.0
LENGTH = 6


class Mutation(enum.Enum):
    """A fault that is injected into a daemon."""

    NONE = 'none'
    FROM_REPLY = 'age counted from the reply'
    RESET_WHEN_SENT = 'age reset when it is sent on'
    STEADY_CLOCK = 'a clock that stops during suspension'
    ANY_VERSION = 'a confirmation of a version that the daemon does not have'


class Daemon:
    """One daemon with its version and the confirmation of it."""

    def __init__(self, mutation):
        self.mutation = mutation
        self.clock = clocks.ManualClock(1000.0)
        self.start()

    def start(self):
        self.version = 0
        self.confirmation = confirmation.Confirmation(self.clock, BOUND_S)
        self.requested_s = None
        self.shown = None

    def now_s(self):
        return self.clock.boot_s()

    def pass_time(self, elapsed_s, *, is_suspended):
        if is_suspended and self.mutation is not Mutation.STEADY_CLOCK:
            self.clock.suspend(elapsed_s)
        elif not is_suspended:
            self.clock.advance(elapsed_s)

    def apply(self, version, confirmed_s):
        """Apply a version that was the newest at ``confirmed_s``."""
        if version > self.version and self.mutation is Mutation.ANY_VERSION:
            self.confirmation.confirm(confirmed_s)
            return
        self.version = max(self.version, version)
        self.confirmation.confirm(confirmed_s)


class World:
    """The platform, a daemon that reads it and one that requests from it."""

    def __init__(self, mutation):
        self.mutation = mutation
        self.now_s = 0.0
        self.versions = [(0.0, 0)]
        self.reader = Daemon(mutation)
        self.requester = Daemon(mutation)
        self.snapshot = None
        self.request_s = None
        self.reply = None

    def newest(self):
        return self.versions[-1][1]

    def withdraw_key(self):
        self.versions.append((self.now_s, self.newest() + 1))

    def wait(self, suspended=None):
        self.now_s += STEP_S
        for daemon in (self.reader, self.requester):
            daemon.pass_time(STEP_S, is_suspended=daemon is suspended)

    def request_snapshot(self):
        self.snapshot = (self.reader.now_s(), self.newest())

    def receive_snapshot(self):
        if self.snapshot is None:
            return
        requested_s, version = self.snapshot
        self.snapshot = None
        if self.mutation is Mutation.FROM_REPLY:
            requested_s = self.reader.now_s()
        self.reader.apply(version, requested_s)

    def request_confirmation(self):
        self.request_s = self.requester.now_s()

    def send_confirmation(self):
        age_s = self.reader.confirmation.age_s()
        if self.request_s is None or age_s is None:
            return
        if self.mutation is Mutation.RESET_WHEN_SENT:
            age_s = 0.0
        self.reply = (self.request_s - age_s, self.reader.version)
        self.request_s = None

    def receive_confirmation(self):
        if self.reply is None:
            return
        confirmed_s, version = self.reply
        self.reply = None
        if self.mutation is Mutation.FROM_REPLY:
            confirmed_s = self.requester.now_s()
        self.requester.apply(version, confirmed_s)

    def restart_requester(self):
        self.requester.start()
        self.request_s = None
        self.reply = None

    def is_safe(self):
        required_version = (
            max(
                version
                for acknowledged_s, version in self.versions
                if acknowledged_s <= self.now_s - BOUND_S
            )
            if self.now_s >= BOUND_S
            else 0
        )
        return all(
            daemon.version >= required_version
            or not daemon.confirmation.is_valid()
            for daemon in (self.reader, self.requester)
        )


EVENTS = (
    World.withdraw_key,
    World.wait,
    lambda world: world.wait(world.requester),
    lambda world: world.wait(world.reader),
    World.request_snapshot,
    World.receive_snapshot,
    World.request_confirmation,
    World.send_confirmation,
    World.receive_confirmation,
    World.restart_requester,
)
BEFORE = (
    World.request_snapshot,
    World.receive_snapshot,
    World.request_confirmation,
    World.send_confirmation,
)
"""Histories begin with a confirmed reader and a reply in flight."""


def unsafe_histories(mutation):
    """Yield each history after which a withdrawn key would be accepted."""
    for history in itertools.product(EVENTS, repeat=LENGTH):
        world = World(mutation)
        for event in (*BEFORE, *history):
            event(world)
        if not world.is_safe():
            yield history


@pytest.mark.parametrize('first', range(len(EVENTS)))
def test_no_history_lets_a_withdrawn_key_through(first):
    seen = 0
    for remaining in itertools.product(EVENTS, repeat=LENGTH - 1):
        world = World(Mutation.NONE)
        for event in (*BEFORE, EVENTS[first], *remaining):
            event(world)
        assert world.is_safe()
        seen += 1
    assert seen == len(EVENTS) ** (LENGTH - 1)


@pytest.mark.parametrize(
    'mutation',
    [mutation for mutation in Mutation if mutation is not Mutation.NONE],
)
def test_some_history_shows_each_mutation(mutation):
    assert next(unsafe_histories(mutation), None) is not None
