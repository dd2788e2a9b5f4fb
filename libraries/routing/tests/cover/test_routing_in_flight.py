"""No daemon believes that it owns all slots."""

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


# With three daemons, t2 has two home slots of 'me' and t3 one. Of a target
# without enough of them, a slot is borrowed while another one stays free.
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
        (tuple(f'p{one}' for one in range(48)), {}, 0, (0, 0, 1)),
        (('p1',), {'stranger': {'t1': 3}, 'p1': {}}, 0, (2, 2, 2)),
    ],
)
def test_slots_left_to_one_daemon(peers, reports, age_s, expected):
    manual, targets, chooser = _slots(peers)
    for observer, counts in reports.items():
        targets.receive_report(observer, counts)
    manual.advance(age_s)
    reserved = _reserve_all(targets, chooser)
    assert tuple(reserved.count(name) for name in _TARGETS) == expected


def test_belief_in_a_report_fades_towards_the_home_slots():
    manual, targets, chooser = _slots(('p1',), slots=9)
    targets.receive_report('p1', {})
    left = []
    for _ in range(20):
        reserved = _reserve_all(targets, chooser)
        left.append(len(reserved))
        for name in reserved:
            targets.release(name)
        manual.advance(0.1)
    assert left == sorted(left, reverse=True)
    assert left[0] == 24
    assert 13 <= left[-1] <= 14
    assert len(set(left)) > 3


def test_shed_replies_end_borrowing_until_requests_outweigh_them():
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
def test_every_slot_is_at_home_once_and_shares_are_equal(slots, daemons):
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
            dealt = [own.get(target.target_id, 0) for own in homes.values()]
            assert sum(dealt) == target.slots


def test_a_target_that_shed_gets_nothing_for_a_moment_then_work_again():
    manual, targets, _ = _slots()
    chooser = choice.RoundRobin()
    holds_s = []
    for _ in range(4):
        targets.shed('t1')
        started_s = manual.monotonic_s()
        while 't1' not in {one.target_id for one in targets.candidates()}:
            assert targets.reserve(chooser, ('t2', 't3')) is None
            manual.advance(0.001)
        holds_s.append(manual.monotonic_s() - started_s)
    assert 0.01 <= holds_s[0] <= 0.032
    assert 0.08 <= holds_s[-1] <= 0.25
    targets.answered('t1')
    targets.shed('t1')
    manual.advance(0.032)
    assert targets.reserve(chooser, ('t2', 't3')) == 't1'


def test_a_target_that_is_gone_gets_nothing_and_counts_down():
    _, targets, chooser = _slots()
    held = _reserve_all(targets, chooser)
    targets.set_targets([in_flight.TargetCapacity('t4', 'z1', 1)])
    targets.set_weight('t1', 1)
    assert targets.report() == {'t1': 3, 't2': 3, 't3': 3}
    for name in held:
        targets.release(name)
        assert targets.reserve(chooser) is None
    assert targets.find('t1') is None
    with pytest.raises(errors.NotReservedError):
        targets.release('t1')


class SlotsMachine(stateful.RuleBasedStateMachine):
    """Reservations, reports, weights, targets and time in any order."""

    def __init__(self):
        super().__init__()
        made = _slots(('p1',))
        self.clock = made[0]
        self.targets = made[1]
        self.chooser = made[2]
        self.held = []
        self.listed = set(_TARGETS)

    def teardown(self):
        for held in self.held:
            self.targets.release(held)
        self.clock.advance(60)
        self.targets.receive_report('p1', {})
        records = [self.targets.find(name) for name in self.listed]
        free = {one.target_id for one in records if one.weight}
        assert {one.target_id for one in self.targets.candidates()} == free

    @stateful.rule()
    def reserve(self):
        chosen = self.targets.reserve(self.chooser)
        assert chosen is None or chosen in self.listed
        self.held += [chosen] if chosen else []

    @stateful.precondition(lambda machine: machine.held)
    @stateful.rule(place=st.integers(0, 99))
    def release(self, place):
        self.targets.release(self.held.pop(place % len(self.held)))

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
    def heard(self, counts):
        self.targets.receive_report('p1', counts)

    @stateful.rule(names=st.sets(st.sampled_from(_TARGETS)))
    def set_targets(self, names):
        self.listed = names
        self.targets.set_targets(
            in_flight.TargetCapacity(one, 'z1', 3) for one in names
        )
        self.set_weight(1)
        self.targets.set_weight('t2', 1)
        self.targets.set_weight('t3', 1)

    @stateful.invariant()
    def free_list_and_counts_agree_with_the_records(self):
        candidates = self.targets.candidates()
        assert all(one.is_free() for one in candidates)
        assert {one.target_id for one in candidates} <= self.listed
        counts = {one: self.held.count(one) for one in self.held}
        assert self.targets.report() == counts


TestSlotsMachine = SlotsMachine.TestCase
