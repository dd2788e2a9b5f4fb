"""Rendezvous hashing is deterministic and moves as few keys as possible."""

from hypothesis import given
from hypothesis import strategies as st

from sardinepier.core import rendezvous

_NAMES = st.lists(st.text(min_size=1), unique=True, max_size=12)


@given(st.text(), _NAMES, st.integers(min_value=0, max_value=5), st.randoms())
def test_choice_does_not_depend_on_the_order_of_candidates(
    key, names, count, random_source
):
    shuffled = list(names)
    random_source.shuffle(shuffled)
    chosen = rendezvous.top_candidates(key, names, count)
    assert chosen == rendezvous.top_candidates(key, shuffled, count)
    assert len(chosen) == min(count, len(names))


@given(st.text(), _NAMES.filter(bool), st.integers(min_value=1, max_value=5))
def test_removing_a_candidate_moves_only_its_own_keys(key, names, count):
    chosen = rendezvous.top_candidates(key, names, count)
    removed = names[0]
    remaining = [name for name in names if name != removed]
    chosen_after = rendezvous.top_candidates(key, remaining, count)
    assert set(chosen) - {removed} <= set(chosen_after)
