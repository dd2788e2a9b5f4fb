"""A daemon that is started again hears its peers before the platform.

Its peers have tried to reach its old address in vain for a while, and each
waits before it tries again. The platform may be stale, so that the wait of
the starting daemon must outlast theirs.
"""

import zmq

from sardinepier.configuration import options
from sardinepier.wire import limits, messages
from sardinepier.wire.internal import sockets

_MS_PER_S = 1000


def test_a_sender_pauses_no_longer_than_it_says():
    context = zmq.Context()
    sender = sockets.open_sender(
        context,
        messages.PeerAddress('127.0.0.1', 1),
        None,
        limits.ZmqLimits(),
    )
    longest_ms = sender.getsockopt(zmq.RECONNECT_IVL_MAX)
    context.destroy(linger=0)
    assert longest_ms == limits.MAX_RECONNECT_INTERVAL_S * _MS_PER_S


def test_peers_connect_anew_within_half_of_the_wait_for_them():
    waits = options.DistributorOptions()
    assert 2 * limits.MAX_RECONNECT_INTERVAL_S <= waits.peer_wait_s
