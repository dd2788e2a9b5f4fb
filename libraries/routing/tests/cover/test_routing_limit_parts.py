"""How the senders of a target divide the limit that it names."""

from hypothesis import given
from hypothesis import strategies as st

from sardinepier.core import ids
from sardinepier.routing import limit_parts

TARGET = ids.TargetId('t1')
WINDOW_S = 4.0
AT_ONCE = 2
"""Requests that a daemon may send in a moment, whatever its part."""

NAMES = st.text('abcdef', min_size=1, max_size=4)


@given(
    senders=st.lists(NAMES, min_size=1, max_size=200, unique=True),
    limit_per_s=st.floats(0.1, 1000),
)
def test_the_parts_are_the_whole_limit_and_few_hold_one(senders, limit_per_s):
    """Guards against parts that add up to more, by what each may send at once."""
    parts = [
        limit_parts.part_of(own, senders, TARGET, limit_per_s)
        for own in senders
    ]
    holders = [part for part in parts if part]
    assert abs(sum(parts) - 1) < 1e-9
    most = limit_per_s * WINDOW_S + AT_ONCE * len(holders)
    assert most <= 1.5 * limit_per_s * WINDOW_S + 5


def test_whoever_is_no_sender_has_no_part():
    assert not limit_parts.part_of('z', ['a', 'b'], TARGET, 5.0)
    assert not limit_parts.part_of('z', [], TARGET, 5.0)


def test_all_name_the_same_daemon_whatever_order_they_know():
    names = [f'd{number}' for number in range(20)]
    chosen = {
        own
        for own in names
        for known in (names, sorted(names, reverse=True))
        if limit_parts.part_of(own, known, TARGET, 1.0)
    }
    assert len(chosen) == 1
