"""Opens ZeroMQ sockets with limits and timeouts set."""

import errno
from typing import Final

import zmq

from sardinepier.wire import errors, limits, messages
from sardinepier.wire.internal import endpoints

Context = zmq.Context[zmq.Socket[bytes]]
Socket = zmq.Socket[bytes]

_KEEPALIVE_IDLE_S: Final = 10
_KEEPALIVE_INTERVAL_S: Final = 5
_KEEPALIVE_COUNT: Final = 3
_UNACKNOWLEDGED_TIMEOUT_MS: Final = 5000
_CONNECT_TIMEOUT_MS: Final = 2000
_HANDSHAKE_TIMEOUT_MS: Final = 5000
_MIN_RECONNECT_INTERVAL_MS: Final = 100
_MS_PER_S: Final = 1000
# A socket closes the connection on a message above its own limit, uncounted.
# A limit twice as high lets the dispatcher count messages slightly too large.
_RECEIVER_LIMIT_FACTOR: Final = 2


def open_receiver(
    context: Context,
    bind: messages.PeerAddress,
    bounds: limits.ZmqLimits,
) -> Socket:
    """Return a bound ``PULL`` socket.

    Raises ``PortInUseError`` or ``AddressUnavailableError``.
    """
    receiver = context.socket(zmq.PULL)
    _set_common(receiver, bind.ip)
    receiver.setsockopt(zmq.RCVHWM, bounds.high_water_mark)
    receiver.setsockopt(
        zmq.MAXMSGSIZE,
        _RECEIVER_LIMIT_FACTOR * bounds.max_message_bytes,
    )
    try:
        receiver.bind(endpoints.bind_endpoint(bind))
    except zmq.ZMQError as error:
        receiver.close(linger=0)
        raise _bind_error(bind, error) from error
    return receiver


def bound_address(
    receiver: Socket,
    bind: messages.PeerAddress,
) -> messages.PeerAddress:
    """Return ``bind`` with the port that the receiver is bound to."""
    endpoint = receiver.getsockopt(zmq.LAST_ENDPOINT)
    if not isinstance(endpoint, bytes):
        return bind
    port = endpoint.rstrip(b'\x00').rpartition(b':')[2]
    return messages.PeerAddress(bind.ip, int(port))


def open_sender(
    context: Context,
    peer: messages.PeerAddress,
    source_ip: str | None,
    bounds: limits.ZmqLimits,
) -> Socket:
    """Return a ``PUSH`` socket that connects to ``peer``.

    Raises ``zmq.ZMQError`` when the endpoint is rejected.
    """
    sender = context.socket(zmq.PUSH)
    _set_common(sender, peer.ip)
    sender.setsockopt(zmq.SNDHWM, bounds.high_water_mark)
    sender.setsockopt(zmq.IMMEDIATE, 1)
    sender.setsockopt(zmq.CONNECT_TIMEOUT, _CONNECT_TIMEOUT_MS)
    sender.setsockopt(zmq.RECONNECT_IVL, _MIN_RECONNECT_INTERVAL_MS)
    sender.setsockopt(
        zmq.RECONNECT_IVL_MAX,
        int(limits.MAX_RECONNECT_INTERVAL_S * _MS_PER_S),
    )
    try:
        sender.connect(endpoints.connect_endpoint(peer, source_ip))
    except zmq.ZMQError:
        sender.close(linger=0)
        raise
    return sender


def _set_common(socket: Socket, ip: str) -> None:
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.HANDSHAKE_IVL, _HANDSHAKE_TIMEOUT_MS)
    # Without a timeout for unacknowledged data, messages sent over a failed
    # link are buffered for minutes and delivered when the link recovers.
    socket.setsockopt(zmq.TCP_MAXRT, _UNACKNOWLEDGED_TIMEOUT_MS)
    socket.setsockopt(zmq.TCP_KEEPALIVE, 1)
    socket.setsockopt(zmq.TCP_KEEPALIVE_IDLE, _KEEPALIVE_IDLE_S)
    socket.setsockopt(zmq.TCP_KEEPALIVE_INTVL, _KEEPALIVE_INTERVAL_S)
    socket.setsockopt(zmq.TCP_KEEPALIVE_CNT, _KEEPALIVE_COUNT)
    socket.setsockopt(zmq.IPV6, int(endpoints.is_ipv6(ip)))


def _bind_error(
    bind: messages.PeerAddress,
    error: zmq.ZMQError,
) -> errors.BindError:
    if error.errno == errno.EADDRINUSE:
        return errors.PortInUseError(bind)
    return errors.AddressUnavailableError(bind, str(error))
