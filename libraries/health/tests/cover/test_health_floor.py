"""Ejections never take the service below its capacity floor.

A daemon's ejections are in force only while the targets that it has not
ejected reach the floor with fresh good evidence. The model in this test
records that evidence independently, and may only overestimate it.
"""

import itertools
import random

from hypothesis import given, settings, stateful
from hypothesis import strategies as st

from sardinepier.core import clock
from sardinepier.health import (
    ejection,
    evidence,
    options,
    service_health,
    targets,
)

_NAMES = [f't{index}' for index in range(6)]
_NAME = st.sampled_from(_NAMES)
_OUTCOME = st.sampled_from(list(evidence.AttemptOutcome))
_STATES = targets.TargetState
_ROW = st.builds(
    evidence.TargetEvidence,
    _NAME,
    st.sampled_from('ab'),
    st.tuples(*(st.floats(-50, 90) for _ in range(4))),
    st.integers(0, 500),
    st.integers(0, 500),
    st.floats(0, 40),
    st.floats(0, 3000),
    st.integers(0, 9),
)
_NOTICE = st.builds(
    evidence.EjectionNotice,
    _NAME,
    st.sampled_from('ab'),
    st.floats(0, 60),
    st.floats(0, 5),
)
_REPORT = st.builds(
    evidence.EvidenceReport,
    st.integers(1, 40),
    st.booleans(),
    st.lists(_ROW, max_size=6).map(tuple),
    st.lists(_NOTICE, max_size=4).map(tuple),
    st.lists(
        st.builds(evidence.LeavingNotice, _NAME, st.sampled_from('ab')),
        max_size=1,
    ).map(tuple),
)


class FloorMachine(stateful.RuleBasedStateMachine):
    """Arbitrary evidence, target lists, peer reports, options and times."""

    @stateful.initialize(count=st.integers(1, 3))
    def start(self, count):
        self.clock = clock.ManualClock()
        self.settings = options.HealthOptions(
            false_ejections_per_target_day=1e6,
            fresh_evidence_s=5,
            cold_start_s=2,
            ejection_base_s=3,
        )
        self.daemons = [
            service_health.ServiceHealth(
                'search',
                f'd{index}~0',
                self.settings,
                self.clock,
                random.Random(index),
                lambda _event: None,
            )
            for index in range(count)
        ]
        self.slots = {}
        self.incarnations = {}
        self.last_good_s = {}
        self.leaving = set()
        self.attempt = 0
        self.list_targets([(name, 'a', 2) for name in _NAMES])

    @stateful.rule(
        listed=st.lists(
            st.tuples(_NAME, st.sampled_from('ab'), st.integers(1, 9)),
            min_size=1,
            unique_by=lambda listed: listed[0],
        ),
    )
    def list_targets(self, listed):
        self.slots = {name: slots for name, _, slots in listed}
        self.incarnations = {
            name: incarnation for name, incarnation, _ in listed
        }
        for daemon in self.daemons:
            daemon.set_targets(
                targets.TargetIdentity(*identity) for identity in listed
            )

    @stateful.rule(name=_NAME, outcome=_OUTCOME, count=st.integers(1, 30))
    def traffic(self, name, outcome, count):
        for index, daemon in enumerate(self.daemons):
            for _ in range(count):
                self.attempt += 1
                daemon.started(name, 'list', self.attempt)
                daemon.finished(name, 'list', self.attempt, outcome, 40.0)
            if outcome is evidence.AttemptOutcome.ANSWERED:
                self._record_good(index, name)

    @stateful.rule(bad=st.sets(_NAME, max_size=5), seconds=st.integers(1, 20))
    def some_fail_for_a_while(self, bad, seconds):
        for _ in range(seconds * 2):
            for name in _NAMES:
                failed = evidence.AttemptOutcome.FAILED
                answered = evidence.AttemptOutcome.ANSWERED
                self.traffic(name, failed if name in bad else answered, 2)
            self.clock.advance(0.5)
            self.tick_all()
            self.exchange_reports(lost=False)

    @stateful.rule(name=_NAME, good=st.booleans())
    def probe(self, name, good):
        for index, daemon in enumerate(self.daemons):
            daemon.probed(name, good, 2.0)
            if good:
                self._record_good(index, name)

    @stateful.rule(
        report=_REPORT,
        observer=st.sampled_from(['x~0', 'y~0', 'd0~0']),
    )
    def receive_arbitrary_report(self, report, observer):
        self.leaving |= {
            (notice.target_id, notice.incarnation) for notice in report.leaving
        }
        for daemon in self.daemons:
            daemon.receive_report(observer, report)

    @stateful.rule(lost=st.booleans())
    def exchange_reports(self, lost):
        for sender, daemon in enumerate(self.daemons):
            report = daemon.report()
            for index, peer in enumerate(self.daemons):
                if index != sender and not (lost and index == 0):
                    peer.receive_report(f'd{sender}~0', report)

    @stateful.rule(percent=st.floats(0, 100))
    def change_floor(self, percent):
        self.settings = options.HealthOptions(
            false_ejections_per_target_day=1e6,
            fresh_evidence_s=5,
            cold_start_s=2,
            ejection_base_s=3,
            floor_percent=percent,
        )
        for daemon in self.daemons:
            daemon.configure(self.settings)

    @stateful.rule(name=_NAME, incarnation=st.sampled_from('ab'))
    def leave(self, name, incarnation):
        self.leaving.add((name, incarnation))
        for daemon in self.daemons:
            daemon.mark_leaving(name, incarnation)

    @stateful.rule(elapsed_s=st.floats(0, 8))
    def wait(self, elapsed_s):
        self.clock.advance(elapsed_s)
        self.tick_all()

    @stateful.rule()
    def tick_all(self):
        for daemon in self.daemons:
            daemon.tick()

    @stateful.invariant()
    def ejections_keep_the_floor(self):
        floor = sum(self.slots.values()) * self.settings.floor_percent / 100
        for index, daemon in enumerate(self.daemons):
            states = {
                status.target_id: status.state for status in daemon.status()
            }
            if _STATES.EJECTED not in states.values():
                continue
            serving = [
                name
                for name, state in states.items()
                if state in {_STATES.IN_SERVICE, _STATES.SUSPECT}
                and self._is_fresh(index, name)
            ]
            assert sum(self.slots[name] for name in serving) >= floor

    @stateful.invariant()
    def leaving_is_permanent(self):
        for daemon in self.daemons:
            for name, incarnation in self.incarnations.items():
                if (name, incarnation) in self.leaving:
                    assert daemon.standing(name).state is _STATES.LEAVING
                    assert name not in daemon.selectable()

    def _record_good(self, index, name):
        key = (index, name, self.incarnations.get(name))
        self.last_good_s[key] = self.clock.monotonic_s()

    def _is_fresh(self, index, name):
        good_s = self.last_good_s.get((index, name, self.incarnations[name]))
        if good_s is None:
            return False
        elapsed_s = self.clock.monotonic_s() - good_s
        return elapsed_s <= self.settings.fresh_evidence_s


TestFloor = FloorMachine.TestCase
TestFloor.settings = settings(max_examples=60, stateful_step_count=25)


_WANTED = st.lists(
    st.builds(
        ejection.WantedEjection,
        _NAME,
        st.floats(0, 9),
        st.booleans(),
        st.booleans(),
    ),
    unique_by=lambda wanted: wanted.target_id,
)
_CAPACITY = st.builds(
    ejection.Capacity,
    st.dictionaries(_NAME, st.integers(1, 9)),
    st.floats(0, 40),
)


@given(_WANTED, _CAPACITY, st.randoms())
def test_what_is_allowed_never_goes_below_the_floor(
    wanted, capacity, random_source
):
    allowed = ejection.allowed(wanted, capacity)
    assert allowed <= {
        candidate.target_id for candidate in wanted if candidate.own
    }
    remaining = sum(
        slots for name, slots in capacity.slots.items() if name not in allowed
    )
    assert not allowed or remaining >= capacity.floor_slots
    shuffled = list(wanted)
    random_source.shuffle(shuffled)
    assert ejection.allowed(shuffled, capacity) == allowed


@given(_WANTED, _CAPACITY, st.data())
def test_daemons_that_know_the_same_ejections_keep_a_union_above_the_floor(
    wanted, capacity, data
):
    owners = [data.draw(st.integers(0, 2)) for _ in wanted]
    union = set()
    for daemon in range(3):
        view = [
            ejection.WantedEjection(
                candidate.target_id, candidate.score, owner == daemon, True
            )
            for candidate, owner in zip(wanted, owners, strict=True)
        ]
        union |= ejection.allowed(view, capacity)
    remaining = sum(
        slots for name, slots in capacity.slots.items() if name not in union
    )
    assert not union or remaining >= capacity.floor_slots


def _fail(_random_source):
    return evidence.AttemptOutcome.FAILED, 5.0


def test_two_sides_of_a_partition_converge_above_the_floor(make_group):
    group = make_group(daemons=4, floor_percent=60)
    for left, right in itertools.product((0, 1), (2, 3)):
        group.cut_links |= {(left, right), (right, left)}
    group.run(12)
    for left, right in itertools.product((0, 1), (2, 3)):
        for name in ('t0', 't1'):
            group.scripts[left, name] = _fail
        for name in ('t2', 't3'):
            group.scripts[right, name] = _fail
    group.run(2)
    assert all(len(group.ejected(daemon)) == 2 for daemon in range(4))
    group.cut_links.clear()
    for sender in range(4):
        group.send_report(sender)
    for service in group.daemons:
        service.tick()
    union = set().union(*(group.ejected(daemon) for daemon in range(4)))
    assert len(union) == 2
    kept_by_floor = [
        status
        for status in group.daemons[0].status() + group.daemons[2].status()
        if status.reason is targets.Reason.HELD_BY_FLOOR
    ]
    assert kept_by_floor and all(
        0 < status.weight < 0.5 for status in kept_by_floor
    )
