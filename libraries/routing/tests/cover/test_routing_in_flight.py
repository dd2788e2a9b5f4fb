"""Slots of targets that several daemons share."""

import random

import pytest
from hypothesis import given, stateful
from hypothesis import strategies as st

from sardinepier.core import clock
from sardinepier.routing import choice, errors, in_flight
from sardinepier.routing.internal import home_slots

_TARGETS = ('t1', 't2', 't3')


def _slots(peers=(), slots=3):
    manual = clock.ManualClock()
    source = random.Random(1)
    targets = in_flight.TargetSlots(manual, source)
    targets.set_group(peers, 'me')
    targets.set_targets(
        in_flight.TargetCapacity(name, 'z1', slots) for name in _TARGETS
    )
    for name in _TARGETS:
        targets.set_weight(name, 1)
    return manual, targets, choice.LeastLoadedOfTwo(source)


def _reserve_all(targets, chooser):
    return list(iter(lambda: targets.reserve(chooser), None))


# With three daemons, 'me' has two home slots at t2 and one at t3. Slots of other
# daemons are borrowed as long as another slot of the target stays free.
@pytest.mark.parametrize(
    ('peers', 'reports', 'age_s', 'expected'),
    [
        ((), {}, 0, (3, 3, 3)),
        (('p1', 'p2'), {'p1': {}, 'p2': {}}, 0, (2, 2, 2)),
        (('p1', 'p2'), {'p1': {'t1': 1}, 'p2': {'t3': 2}}, 0, (1, 2, 1)),
        (('p1', 'p2'), {'p1': {'t1': 3, 't2': 3}, 'p2': {}}, 0, (0, 2, 2)),
        (('p1', 'p2'), {}, 0, (0, 2, 1)),
        (('p1', 'p2'), {'p1': {}, 'p2': {}}, 60, (0, 2, 1)),
        (('p1', 'p2'), {'p1': {'t1': 3}, 'p2': {}}, 60, (0, 2, 1)),
        (('p1', 'p2'), {'p1': {'t1': 2}}, 0, (0, 2, 1)),
        (tuple(f'p{number}' for number in range(48)), {}, 0, (0, 0, 1)),
        (('p1',), {'stranger': {'t1': 3}, 'p1': {}}, 0, (2, 2, 2)),
    ],
)
def test_slots_available_to_one_daemon(peers, reports, age_s, expected):
    manual, targets, chooser = _slots(peers)
    for observer, counts in reports.items():
        targets.receive_report(observer, counts)
    manual.advance(age_s)
    reserved = _reserve_all(targets, chooser)
    assert tuple(reserved.count(name) for name in _TARGETS) == expected


def test_the_count_of_an_aging_report_tends_to_the_home_slots():
    manual, targets, chooser = _slots(('p1',), slots=9)
    targets.receive_report('p1', {})
    available = []
    for _ in range(20):
        reserved = _reserve_all(targets, chooser)
        available.append(len(reserved))
        for name in reserved:
            targets.release(name)
        manual.advance(0.1)
    assert available == sorted(available, reverse=True)
    assert available[0] == 24
    assert 13 <= available[-1] <= 14
    assert len(set(available)) > 3


def test_shed_replies_stop_borrowing_until_the_window_has_passed():
    manual, targets, chooser = _slots(('p1', 'p2'))
    targets.receive_report('p1', {})
    targets.receive_report('p2', {})
    for _ in range(2):
        targets.shed('t1')
    manual.advance(0.4)
    assert targets.reserve(chooser, ('t2', 't3')) is None
    assert targets.reserve(chooser) in {'t2', 't3'}
    targets.receive_report('p1', {})
    manual.advance(6)
    targets.receive_report('p1', {})
    targets.receive_report('p2', {})
    assert targets.reserve(chooser, ('t2', 't3')) == 't1'


@given(
    st.lists(st.integers(1, 4), min_size=1, max_size=20),
    st.integers(1, 60),
)
def test_every_slot_is_a_home_slot_once_and_shares_are_equal(slots, daemons):
    targets = [
        choice.Candidate(f't{number}', 'z1', 1, count)
        for number, count in enumerate(slots)
    ]
    names = [f'd{number}' for number in range(daemons)]
    homes = home_slots.assign(targets, names)
    in_other_order = home_slots.assign(reversed(targets), set(names))
    assert homes == in_other_order
    shares = [sum(own.values()) for own in homes.values()]
    assert max(shares) - min(shares) <= 1
    assert min(shares) >= 1
    if sum(slots) >= daemons:
        for target in targets:
            assigned = [own.get(target.target_id, 0) for own in homes.values()]
            assert sum(assigned) == target.slots


def test_a_target_that_shed_gets_requests_again_after_a_back_off():
    manual, targets, _ = _slots()
    chooser = choice.RoundRobin()
    back_offs_s = []
    for _ in range(4):
        targets.shed('t1')
        started_s = manual.monotonic_s()
        while 't1' not in {
            candidate.target_id for candidate in targets.candidates()
        }:
            assert targets.reserve(chooser, ('t2', 't3')) is None
            manual.advance(0.001)
        back_offs_s.append(manual.monotonic_s() - started_s)
    assert 0.01 <= back_offs_s[0] <= 0.032
    assert 0.08 <= back_offs_s[-1] <= 0.25
    targets.answered('t1')
    targets.shed('t1')
    manual.advance(0.032)
    assert targets.reserve(chooser, ('t2', 't3')) == 't1'


def test_a_removed_target_gets_no_requests_and_can_be_released():
    _, targets, chooser = _slots()
    reserved = _reserve_all(targets, chooser)
    targets.set_targets([in_flight.TargetCapacity('t4', 'z1', 1)])
    targets.set_weight('t1', 1)
    assert targets.report() == {'t1': 3, 't2': 3, 't3': 3}
    for name in reserved:
        targets.release(name)
        assert targets.reserve(chooser) is None
    assert targets.find('t1') is None
    with pytest.raises(errors.NotReservedError):
        targets.release('t1')


class SlotsMachine(stateful.RuleBasedStateMachine):
    """Reservations, reports, weights, targets and time in any order."""

    def __init__(self):
        super().__init__()
        parts = _slots(('p1',))
        self.clock = parts[0]
        self.targets = parts[1]
        self.chooser = parts[2]
        self.reserved = []
        self.listed = set(_TARGETS)

    def teardown(self):
        for target_id in self.reserved:
            self.targets.release(target_id)
        self.clock.advance(60)
        self.targets.receive_report('p1', {})
        records = [self.targets.find(name) for name in self.listed]
        free = {record.target_id for record in records if record.weight}
        assert {
            candidate.target_id for candidate in self.targets.candidates()
        } == free

    @stateful.rule()
    def reserve(self):
        chosen = self.targets.reserve(self.chooser)
        assert chosen is None or chosen in self.listed
        self.reserved += [chosen] if chosen else []

    @stateful.precondition(lambda machine: machine.reserved)
    @stateful.rule(position=st.integers(0, 99))
    def release(self, position):
        self.targets.release(self.reserved.pop(position % len(self.reserved)))

    @stateful.rule(target_id=st.sampled_from(_TARGETS))
    def shed(self, target_id):
        self.targets.shed(target_id)

    @stateful.rule(weight=st.sampled_from([0, 0.5, 1]))
    def set_weight(self, weight):
        self.targets.set_weight('t1', weight)

    @stateful.rule(elapsed_s=st.sampled_from([0.01, 0.3, 2.0]))
    def advance(self, elapsed_s):
        self.clock.advance(elapsed_s)

    @stateful.rule(
        counts=st.dictionaries(st.sampled_from(_TARGETS), st.integers(0, 3))
    )
    def receive_report(self, counts):
        self.targets.receive_report('p1', counts)

    @stateful.rule(names=st.sets(st.sampled_from(_TARGETS)))
    def set_targets(self, names):
        self.listed = names
        self.targets.set_targets(
            in_flight.TargetCapacity(name, 'z1', 3) for name in names
        )
        self.set_weight(1)
        self.targets.set_weight('t2', 1)
        self.targets.set_weight('t3', 1)

    @stateful.invariant()
    def free_lists_and_counts_match_the_records(self):
        candidates = self.targets.candidates()
        assert all(candidate.is_free() for candidate in candidates)
        assert {candidate.target_id for candidate in candidates} <= self.listed
        counts = {name: self.reserved.count(name) for name in self.reserved}
        assert self.targets.report() == counts


TestSlotsMachine = SlotsMachine.TestCase
