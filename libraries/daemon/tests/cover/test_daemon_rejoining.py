"""A restarted daemon is reached by its peers before it uses the platform.

Peers that could not connect to the daemon wait before they reconnect. The
platform may be stale, so the starting daemon must wait for its peers for longer
than they wait to reconnect.
"""

import zmq

from sardinepier.configuration import options
from sardinepier.wire import limits, messages
from sardinepier.wire.internal import sockets

_MS_PER_S = 1000


def test_the_reconnect_interval_of_a_sender_has_the_stated_maximum():
    context = zmq.Context()
    sender = sockets.open_sender(
        context,
        messages.PeerAddress('127.0.0.1', 1),
        None,
        limits.ZmqLimits(),
    )
    max_interval_ms = sender.getsockopt(zmq.RECONNECT_IVL_MAX)
    context.destroy(linger=0)
    assert max_interval_ms == limits.MAX_RECONNECT_INTERVAL_S * _MS_PER_S


def test_peers_reconnect_within_half_of_the_wait_for_them():
    distributor_options = options.DistributorOptions()
    assert (
        2 * limits.MAX_RECONNECT_INTERVAL_S <= distributor_options.peer_wait_s
    )
