"""Files only move forward, and all daemons agree once faults have ended."""

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


class Spreading(stateful.RuleBasedStateMachine):
    """Operators, the platform, links and daemons, in any order."""

    world: types.SimpleNamespace

    def __init__(self):
        super().__init__()
        self.fleet = self.world.make(_COUNT)
        self.fleet.publish(self.world.fleet)
        self.fleet.run(2)
        self.last = {}

    @stateful.rule(name=_FILES, times=st.integers(1, 4))
    def publish(self, name, times):
        for _ in range(times):
            self.last[name] = (self.fleet.publish(name), True)

    @stateful.rule(name=_FILES)
    def publish_invalid_between_valid_ones(self, name):
        self.fleet.publish(name)
        self.fleet.platform.publish(name, '[nothing]\nkey = 1\n')
        self.last[name] = (self.fleet.publish(name), True)

    @stateful.rule(name=_FILES)
    def publish_invalid(self, name):
        revision = self.fleet.platform.publish(name, '[nothing]\n')
        self.last[name] = (revision, False)

    @stateful.rule(name=_FILES)
    def delete(self, name):
        revision = self.fleet.platform.delete(name)
        self.last[name] = (revision, name != 'fleet')

    @stateful.rule(mode=_MODES, back=st.integers(1, 4))
    def change_platform(self, mode, back):
        modes = type(self.fleet.platform.mode)
        self.fleet.platform.set_mode(modes(mode), back)

    @stateful.rule(number=_NUMBERS, other=_NUMBERS)
    def cut_one_way(self, number, other):
        first, second = (self._address(number), self._address(other))
        self.fleet.hub.cut(first, second)

    @stateful.rule(number=_NUMBERS)
    def cut_from_platform(self, number):
        self.fleet.daemons[number].sight.is_cut = True

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
            daemon.sight.is_cut = False

    @stateful.rule(number=_NUMBERS)
    def restart(self, number):
        self.fleet.start(number)

    @stateful.rule(elapsed_s=st.sampled_from([0.05, 0.5, 3, 30]))
    def wait(self, elapsed_s):
        self.fleet.run(elapsed_s)

    @stateful.invariant()
    def no_daemon_ever_shows_a_lower_revision(self):
        for daemon in self.fleet.daemons.values():
            assert not daemon.lowered

    @stateful.invariant()
    def marks_tell_states_apart(self):
        states = {}
        for daemon in self.fleet.daemons.values():
            known = daemon.store.known().items()
            state = frozenset(
                (name, one.newest_revision, one.in_force_revision)
                for name, one in known
            )
            assert states.setdefault(daemon.store.mark(), state) == state

    def teardown(self):
        self.heal_links()
        self.disturb_messages(loss=0.0, reorder_s=0.0, duplicate=0.0)
        shown = self._highest_shown()
        self.fleet.set_mode('up')
        self.fleet.run_until(self._is_converged, 300)
        for daemon in self.fleet.daemons.values():
            in_force = daemon.in_force()
            for name, revision in shown.items():
                assert in_force[name] >= revision
        self.no_daemon_ever_shows_a_lower_revision()
        self.fleet.close()

    def _is_converged(self):
        return len(self.fleet.marks()) == 1 and all(
            self._has(daemon.store.find(name), *last)
            for daemon in self.fleet.daemons.values()
            for name, last in self.last.items()
        )

    def _has(self, known, revision, is_valid):
        if is_valid:
            return known.in_force_revision == revision
        return known.newest_revision == revision

    def _highest_shown(self):
        highest = {}
        for daemon in self.fleet.daemons.values():
            for name, revision in daemon.in_force().items():
                highest[name] = max(revision, highest.get(name, 0))
        return highest

    def _address(self, number):
        return self.fleet.daemons[number].member.peer_address


def test_files_move_forward_under_all_faults_together(world):
    Spreading.world = world
    stateful.run_state_machine_as_test(
        Spreading,
        settings=settings(
            max_examples=40,
            stateful_step_count=25,
            deadline=None,
            suppress_health_check=list(HealthCheck),
        ),
    )
