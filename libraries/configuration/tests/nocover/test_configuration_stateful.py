"""Tests that revisions never decrease and that daemons converge after faults."""

import types

from hypothesis import HealthCheck, settings, stateful
from hypothesis import strategies as st

from sardinepier.core import ids
from sardinepier.wire import memory_network

_COUNT = 5
_NUMBERS = st.integers(min_value=0, max_value=_COUNT - 1)
_FILES = st.sampled_from(
    [
        ids.FileName('fleet'),
        ids.FileName('service/search'),
        ids.FileName('service/deposits'),
    ],
)
_MODES = st.sampled_from(
    ['up', 'down', 'stale', 'hanging', 'garbage', 'wrong_types', 'garbled'],
)


class FileDistribution(stateful.RuleBasedStateMachine):
    """Random changes, platform faults, link faults and restarts."""

    support: types.SimpleNamespace

    def __init__(self):
        super().__init__()
        self.fleet = self.support.make(_COUNT)
        self.fleet.publish(self.support.fleet)
        self.fleet.run(2)
        self.last_published = {}

    @stateful.rule(name=_FILES, times=st.integers(1, 4))
    def publish(self, name, times):
        for _ in range(times):
            self.last_published[name] = (self.fleet.publish(name), True)

    @stateful.rule(name=_FILES)
    def publish_invalid_between_valid_ones(self, name):
        self.fleet.publish(name)
        self.fleet.platform.publish(name, '[nothing]\nkey = 1\n')
        self.last_published[name] = (self.fleet.publish(name), True)

    @stateful.rule(name=_FILES)
    def publish_invalid(self, name):
        revision = self.fleet.platform.publish(name, '[nothing]\n')
        self.last_published[name] = (revision, False)

    @stateful.rule(name=_FILES)
    def delete(self, name):
        revision = self.fleet.platform.delete(name)
        self.last_published[name] = (revision, name != 'fleet')

    @stateful.rule(mode=_MODES, back=st.integers(1, 4))
    def change_platform(self, mode, back):
        modes = type(self.fleet.platform.mode)
        self.fleet.platform.set_mode(modes(mode), back)

    @stateful.rule(sender=_NUMBERS, receiver=_NUMBERS)
    def cut_one_way(self, sender, receiver):
        source, destination = (self._address(sender), self._address(receiver))
        self.fleet.hub.cut(source, destination)

    @stateful.rule(number=_NUMBERS)
    def cut_from_platform(self, number):
        self.fleet.daemons[number].platform_access.is_cut = True

    @stateful.rule(
        loss=st.sampled_from([0.0, 0.1, 0.5]),
        reorder_s=st.sampled_from([0.0, 0.3]),
        duplicate=st.sampled_from([0.0, 0.3]),
    )
    def disturb_messages(self, loss, reorder_s, duplicate):
        self.fleet.hub.faults = memory_network.LinkFaults(
            loss=loss,
            reorder_s=reorder_s,
            duplicate=duplicate,
        )

    @stateful.rule()
    def heal_links(self):
        self.fleet.hub.heal_all()
        for daemon in self.fleet.daemons.values():
            daemon.platform_access.is_cut = False

    @stateful.rule(number=_NUMBERS)
    def restart(self, number):
        self.fleet.start(number)

    @stateful.rule(elapsed_s=st.sampled_from([0.05, 0.5, 3, 30]))
    def wait(self, elapsed_s):
        self.fleet.run(elapsed_s)

    @stateful.invariant()
    def no_daemon_ever_applies_a_lower_revision(self):
        for daemon in self.fleet.daemons.values():
            assert not daemon.lowered_revisions

    @stateful.invariant()
    def marks_distinguish_states(self):
        states = {}
        for daemon in self.fleet.daemons.values():
            known = daemon.store.known().items()
            state = frozenset(
                (name, file.newest_revision, file.in_force_revision)
                for name, file in known
            )
            assert states.setdefault(daemon.store.mark(), state) == state

    def teardown(self):
        self.heal_links()
        self.disturb_messages(loss=0.0, reorder_s=0.0, duplicate=0.0)
        highest = self._highest_in_force()
        self.fleet.set_mode('up')
        self.fleet.run_until(self._is_converged, 300)
        for daemon in self.fleet.daemons.values():
            in_force = daemon.in_force()
            for name, revision in highest.items():
                assert in_force[name] >= revision
        self.no_daemon_ever_applies_a_lower_revision()
        self.fleet.close()

    def _is_converged(self):
        return len(self.fleet.marks()) == 1 and all(
            self._has(daemon.store.find(name), *last_published)
            for daemon in self.fleet.daemons.values()
            for name, last_published in self.last_published.items()
        )

    def _has(self, known, revision, is_valid):
        if is_valid:
            return known.in_force_revision == revision
        return known.newest_revision == revision

    def _highest_in_force(self):
        highest = {}
        for daemon in self.fleet.daemons.values():
            for name, revision in daemon.in_force().items():
                highest[name] = max(revision, highest.get(name, 0))
        return highest

    def _address(self, number):
        return self.fleet.daemons[number].member.peer_address


def test_revisions_only_increase_under_combined_faults(support):
    FileDistribution.support = support
    stateful.run_state_machine_as_test(
        FileDistribution,
        settings=settings(
            max_examples=40,
            stateful_step_count=25,
            deadline=None,
            suppress_health_check=list(HealthCheck),
        ),
    )
