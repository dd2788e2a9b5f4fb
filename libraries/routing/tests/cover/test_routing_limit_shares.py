"""How the senders of a target divide the limit that it states."""

from hypothesis import given
from hypothesis import strategies as st

from sardinepier.core import ids
from sardinepier.routing import limit_shares

TARGET = ids.TargetId('t1')
WINDOW_S = 4.0
AT_ONCE = 2
"""Requests that a daemon may send at once, whatever its share."""

NAMES = st.text('abcdef', min_size=1, max_size=4)


@given(
    senders=st.lists(NAMES, min_size=1, max_size=200, unique=True),
    limit_per_s=st.floats(0.1, 1000),
)
def test_the_parts_sum_to_the_limit_and_few_daemons_have_one(
    senders, limit_per_s
):
    """Guards against exceeding the limit by what each daemon may send at once."""
    shares = [
        limit_shares.share_of(own, senders, TARGET, limit_per_s)
        for own in senders
    ]
    holders = [share for share in shares if share]
    assert abs(sum(shares) - 1) < 1e-9
    max_requests = limit_per_s * WINDOW_S + AT_ONCE * len(holders)
    assert max_requests <= 1.5 * limit_per_s * WINDOW_S + 5


def test_a_daemon_that_is_no_sender_has_no_share():
    assert not limit_shares.share_of('z', ['a', 'b'], TARGET, 5.0)
    assert not limit_shares.share_of('z', [], TARGET, 5.0)


def test_all_choose_the_same_daemon_in_any_order_of_senders():
    names = [f'd{number}' for number in range(20)]
    chosen = {
        own
        for own in names
        for senders in (names, sorted(names, reverse=True))
        if limit_shares.share_of(own, senders, TARGET, 1.0)
    }
    assert len(chosen) == 1
