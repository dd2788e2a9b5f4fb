"""The contract of all choosers."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sardinepier.routing import choice, errors


def _local_first(source):
    inner = choice.LeastLoadedOfTwo(source)
    return choice.LocalFirst('z1', inner, 0, int)


_CHOOSERS = {
    'least loaded of two': choice.LeastLoadedOfTwo,
    'random': choice.RandomChoice,
    'round robin': lambda _: choice.RoundRobin(),
    'local first': _local_first,
}

_CANDIDATES = st.lists(
    st.builds(
        choice.Candidate,
        target_id=st.integers(0, 999).map('t{}'.format),
        zone=st.sampled_from(['z1', 'z2', 'z3']),
        weight=st.sampled_from([0, 0, 0.05, 0.5, 1]),
        slots=st.integers(1, 3),
        in_flight=st.integers(0, 3),
        peers_in_flight=st.floats(0, 3),
    ),
    unique_by=lambda candidate: candidate.target_id,
    max_size=20,
)


@pytest.mark.parametrize('name', _CHOOSERS)
@given(candidates=_CANDIDATES, seed=st.integers(0, 99))
def test_a_free_candidate_is_chosen_or_none_is_free(name, candidates, seed):
    chooser = _CHOOSERS[name](random.Random(seed))
    free = {
        candidate.target_id for candidate in candidates if candidate.is_free()
    }
    for _ in range(5):
        chosen = chooser.choose(candidates)
        assert chosen in (free or {None})


@given(_CANDIDATES)
def test_a_free_candidate_has_weight_and_a_free_slot(candidates):
    for target in candidates:
        if target.is_free():
            assert target.weight > 0
            assert target.in_flight < target.slots
        elif target.weight == 1:
            assert target.in_flight + target.peers_in_flight > target.slots - 1


@pytest.mark.parametrize('name', _CHOOSERS)
def test_every_free_candidate_is_chosen_at_some_time(name):
    chooser = _CHOOSERS[name](random.Random(1))
    candidates = [
        choice.Candidate(f't{number}', 'z1', 1, 2) for number in range(9)
    ]
    chosen = {chooser.choose(candidates) for _ in range(200)}
    assert len(chosen) == 9


@pytest.mark.parametrize('name', ['least loaded of two', 'random'])
def test_a_target_of_low_weight_gets_few_requests(name):
    chooser = _CHOOSERS[name](random.Random(1))
    candidates = [
        choice.Candidate('weak', 'z1', 0.1, 2),
        *(choice.Candidate(f't{number}', 'z1', 1, 2) for number in range(5)),
    ]
    chosen = [chooser.choose(candidates) for _ in range(2000)]
    assert 10 < chosen.count('weak') < 100


def test_the_less_loaded_target_is_preferred():
    chooser = choice.LeastLoadedOfTwo(random.Random(1))
    candidates = [
        choice.Candidate('busy', 'z1', 1, 3, peers_in_flight=2),
        choice.Candidate('idle', 'z1', 1, 3),
    ]
    chosen = [chooser.choose(candidates) for _ in range(1000)]
    assert 700 < chosen.count('idle') < 800


@pytest.mark.parametrize(
    ('waiting', 'local_in_flight', 'expected'),
    [(0, 0, 'near'), (9, 0, 'near'), (1.0, 2, None), (1.1, 2, 'far')],
)
def test_another_zone_gets_requests_only_past_the_threshold(
    waiting, local_in_flight, expected
):
    chooser = choice.LocalFirst(
        'z1', choice.RoundRobin(), 1.05, lambda: waiting
    )
    candidates = [
        choice.Candidate('far', 'z2', 1, 2),
        choice.Candidate('near', 'z1', 1, 2, local_in_flight),
    ]
    assert chooser.choose(candidates) == expected


def test_a_negative_threshold_is_rejected():
    with pytest.raises(errors.RoutingOptionError):
        choice.LocalFirst('z1', choice.RoundRobin(), -1, int)
