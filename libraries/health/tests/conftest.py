"""A small group of daemons over scripted targets, for the health tests."""

import random

import pytest

from sardinepier.core import clock
from sardinepier.health import evidence, options, service_health, targets

_END = evidence.AttemptOutcome
_STEP_S = 0.02


def good_answer(random_source):
    """Answer as a healthy target does: 40 ms, give or take."""
    return _END.ANSWERED, random_source.lognormvariate(3.7, 0.4)


class Bench:
    """Daemons that share targets ``t0`` to ``tN``; some scripted to be bad.

    A script takes the random source and returns how an attempt ends and its
    latency, or None for one that never ends.
    """

    def __init__(self, daemons=3, target_count=6, **settings):
        self.clock = clock.ManualClock()
        self.random = random.Random(7)
        self.events = []
        self.scripts = {}
        self.options = options.HealthOptions(**settings)
        self.names = [f't{place}' for place in range(target_count)]
        self.incarnations = dict.fromkeys(self.names, 'a')
        self.daemons = [
            service_health.ServiceHealth(
                'search',
                f'd{place}~0',
                self.options,
                self.clock,
                random.Random(place),
                self.events.append,
            )
            for place in range(daemons)
        ]
        self.attempt = 0
        self.cut = set()
        self.idle = set()
        self.list_targets()

    def list_targets(self):
        listed = [
            targets.TargetIdentity(name, self.incarnations[name], 3)
            for name in self.names
        ]
        for daemon in self.daemons:
            daemon.set_targets(listed)

    def run(self, seconds):
        """Send each daemon's requests round by round, tick and report."""
        for step in range(round(seconds / _STEP_S)):
            self.clock.advance(_STEP_S)
            for place, daemon in enumerate(self.daemons):
                if place not in self.idle:
                    self._request(place, daemon)
                if step % 5 == place % 5:
                    daemon.tick()
                if daemon.report_due():
                    self.tell(place)

    def tell(self, sender):
        report = self.daemons[sender].report()
        for place, daemon in enumerate(self.daemons):
            if place != sender and (sender, place) not in self.cut:
                daemon.receive_report(f'd{sender}~0', report)

    def state(self, daemon, name):
        return self.daemons[daemon].standing(name).state

    def out(self, daemon):
        """Return the targets that a daemon has ejected."""
        return {
            name
            for name in self.names
            if self.state(daemon, name) is targets.TargetState.EJECTED
        }

    def ever_out(self):
        return {
            event.target_id
            for event in self.events
            if event.after is targets.TargetState.EJECTED
        }

    def _request(self, place, daemon):
        selectable = daemon.selectable()
        if not selectable:
            return
        name = self.random.choice(selectable)
        script = self.scripts.get((place, name))
        script = script or self.scripts.get(name, good_answer)
        self.attempt += 1
        daemon.started(name, 'list', self.attempt)
        end = script(self.random)
        if end is not None:
            daemon.finished(name, 'list', self.attempt, *end)


@pytest.fixture
def bench():
    return Bench
