"""All short histories of readings, questions, delays and withdrawals.

Two daemons and a platform. One reads the platform, the other asks the first, and
each may be suspended or started anew. Whatever the order of events: a daemon that
takes its configuration for confirmed holds each version that was acknowledged
longer ago than the bound. The checks of this rule are themselves checked by
mutations, each of which some history shows.
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
    """What may be wrong with a daemon."""

    NONE = 'none'
    FROM_ANSWER = 'age counted from the answer'
    RESET_ON_THE_WAY = 'age set back when it is passed on'
    STEADY_CLOCK = 'a clock that stops in suspension'
    ANY_VERSION = 'a confirmation of a version that is not held'


class Daemon:
    """One daemon: what it holds, and since when that is confirmed."""

    def __init__(self, mutation):
        self.mutation = mutation
        self.clock = clocks.ManualClock(1000.0)
        self.start()

    def start(self):
        self.version = 0
        self.held = confirmation.Confirmation(self.clock, BOUND_S)
        self.asked_s = None
        self.shown = None

    def now_s(self):
        return self.clock.boot_s()

    def pass_time(self, elapsed_s, *, is_suspended):
        if is_suspended and self.mutation is not Mutation.STEADY_CLOCK:
            self.clock.suspend(elapsed_s)
        elif not is_suspended:
            self.clock.advance(elapsed_s)

    def take(self, version, confirmed_s):
        """Take in a version that was the newest at a moment."""
        if version > self.version and self.mutation is Mutation.ANY_VERSION:
            self.held.confirm(confirmed_s)
            return
        self.version = max(self.version, version)
        self.held.confirm(confirmed_s)


class World:
    """The platform with one daemon that reads and one that asks."""

    def __init__(self, mutation):
        self.mutation = mutation
        self.now_s = 0.0
        self.versions = [(0.0, 0)]
        self.reader = Daemon(mutation)
        self.asker = Daemon(mutation)
        self.reading = None
        self.question = None
        self.reply = None

    def newest(self):
        return self.versions[-1][1]

    def withdraw(self):
        self.versions.append((self.now_s, self.newest() + 1))

    def wait(self, suspended=None):
        self.now_s += STEP_S
        for daemon in (self.reader, self.asker):
            daemon.pass_time(STEP_S, is_suspended=daemon is suspended)

    def ask_platform(self):
        self.reading = (self.reader.now_s(), self.newest())

    def platform_answers(self):
        if self.reading is None:
            return
        asked_s, version = self.reading
        self.reading = None
        if self.mutation is Mutation.FROM_ANSWER:
            asked_s = self.reader.now_s()
        self.reader.take(version, asked_s)

    def ask_reader(self):
        self.question = self.asker.now_s()

    def reader_answers(self):
        age_s = self.reader.held.age_s()
        if self.question is None or age_s is None:
            return
        if self.mutation is Mutation.RESET_ON_THE_WAY:
            age_s = 0.0
        self.reply = (self.question - age_s, self.reader.version)
        self.question = None

    def answer_arrives(self):
        if self.reply is None:
            return
        confirmed_s, version = self.reply
        self.reply = None
        if self.mutation is Mutation.FROM_ANSWER:
            confirmed_s = self.asker.now_s()
        self.asker.take(version, confirmed_s)

    def restart_asker(self):
        self.asker.start()
        self.question = None
        self.reply = None

    def is_safe(self):
        due = (
            max(
                version
                for acknowledged_s, version in self.versions
                if acknowledged_s <= self.now_s - BOUND_S
            )
            if self.now_s >= BOUND_S
            else 0
        )
        return all(
            daemon.version >= due or not daemon.held.is_valid()
            for daemon in (self.reader, self.asker)
        )


EVENTS = (
    World.withdraw,
    World.wait,
    lambda world: world.wait(world.asker),
    lambda world: world.wait(world.reader),
    World.ask_platform,
    World.platform_answers,
    World.ask_reader,
    World.reader_answers,
    World.answer_arrives,
    World.restart_asker,
)
BEFORE = (
    World.ask_platform,
    World.platform_answers,
    World.ask_reader,
    World.reader_answers,
)
"""Histories begin with a confirmed reader and an answer on its way."""


def unsafe_histories(mutation):
    """Yield each history after which a withdrawn key would be taken."""
    for history in itertools.product(EVENTS, repeat=LENGTH):
        world = World(mutation)
        for event in (*BEFORE, *history):
            event(world)
        if not world.is_safe():
            yield history


@pytest.mark.parametrize('first', range(len(EVENTS)))
def test_no_history_lets_a_withdrawn_key_through(first):
    seen = 0
    for rest in itertools.product(EVENTS, repeat=LENGTH - 1):
        world = World(Mutation.NONE)
        for event in (*BEFORE, EVENTS[first], *rest):
            event(world)
        assert world.is_safe()
        seen += 1
    assert seen == len(EVENTS) ** (LENGTH - 1)


@pytest.mark.parametrize(
    'mutation',
    [one for one in Mutation if one is not Mutation.NONE],
)
def test_some_history_shows_each_mutation(mutation):
    assert next(unsafe_histories(mutation), None) is not None
