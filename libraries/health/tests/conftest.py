"""A small group of daemons with scripted targets, for the health tests."""

import random

import pytest

from sardinepier.core import clock
from sardinepier.health import evidence, options, service_health, targets

_OUTCOMES = evidence.AttemptOutcome
_STEP_S = 0.02


def good_answer(random_source):
    """Answer like a healthy target, in about 40 ms."""
    return _OUTCOMES.ANSWERED, random_source.lognormvariate(3.7, 0.4)


class DaemonGroup:
    """Daemons that share the targets ``t0`` to ``tN``.

    A script simulates a faulty target, for all daemons or for one. It takes
    the random source and returns the outcome and latency of an attempt, or
    None for an attempt that never ends.
    """

    def __init__(self, daemons=3, target_count=6, **settings):
        self.clock = clock.ManualClock()
        self.random = random.Random(7)
        self.events = []
        self.scripts = {}
        self.options = options.HealthOptions(**settings)
        self.names = [f't{index}' for index in range(target_count)]
        self.incarnations = dict.fromkeys(self.names, 'a')
        self.daemons = [
            service_health.ServiceHealth(
                'search',
                f'd{index}~0',
                self.options,
                self.clock,
                random.Random(index),
                self.events.append,
            )
            for index in range(daemons)
        ]
        self.attempt = 0
        self.cut_links = set()
        self.idle_daemons = set()
        self.list_targets()

    def list_targets(self):
        listed = [
            targets.TargetIdentity(name, self.incarnations[name], 3)
            for name in self.names
        ]
        for daemon in self.daemons:
            daemon.set_targets(listed)

    def run(self, seconds):
        """Send requests from each daemon in rounds, tick and send reports."""
        for step in range(round(seconds / _STEP_S)):
            self.clock.advance(_STEP_S)
            for index, daemon in enumerate(self.daemons):
                if index not in self.idle_daemons:
                    self._request(index, daemon)
                if step % 5 == index % 5:
                    daemon.tick()
                if daemon.report_due():
                    self.send_report(index)

    def send_report(self, sender):
        report = self.daemons[sender].report()
        for index, daemon in enumerate(self.daemons):
            if index != sender and (sender, index) not in self.cut_links:
                daemon.receive_report(f'd{sender}~0', report)

    def state(self, daemon, name):
        return self.daemons[daemon].standing(name).state

    def ejected(self, daemon):
        """Return the targets that a daemon has ejected."""
        return {
            name
            for name in self.names
            if self.state(daemon, name) is targets.TargetState.EJECTED
        }

    def ever_ejected(self):
        return {
            event.target_id
            for event in self.events
            if event.after is targets.TargetState.EJECTED
        }

    def _request(self, index, daemon):
        selectable = daemon.selectable()
        if not selectable:
            return
        name = self.random.choice(selectable)
        script = self.scripts.get((index, name))
        script = script or self.scripts.get(name, good_answer)
        self.attempt += 1
        daemon.started(name, 'list', self.attempt)
        outcome = script(self.random)
        if outcome is not None:
            daemon.finished(name, 'list', self.attempt, *outcome)


@pytest.fixture
def make_group():
    return DaemonGroup
