"""Endpoint strings of the messaging library."""

import ipaddress

from sardinepier.core import errors
from sardinepier.wire import messages


def validate_source_ip(source_ip: str | None) -> str | None:
    """Return ``source_ip``.

    Raises ``InvalidArgumentError`` when it is not an IP address.
    """
    if source_ip is None:
        return None
    try:
        ipaddress.ip_address(source_ip)
    except ValueError as error:
        raise errors.InvalidArgumentError(
            f'source_ip is {source_ip!r}',
            'Pass an IP address of this instance, or omit it',
        ) from error
    return source_ip


def is_ipv6(ip: str) -> bool:
    """Return whether a valid IP address is an IPv6 address."""
    return ':' in ip


def bind_endpoint(address: messages.PeerAddress) -> str:
    """Return the endpoint to bind; the system chooses a port for port 0."""
    port = address.port or '*'
    return f'tcp://{_host(address.ip)}:{port}'


def connect_endpoint(
    address: messages.PeerAddress,
    source_ip: str | None,
) -> str:
    """Return the endpoint to connect to, from ``source_ip`` if given."""
    destination = f'{_host(address.ip)}:{address.port}'
    if source_ip is None:
        return f'tcp://{destination}'
    return f'tcp://{_host(source_ip)}:0;{destination}'


def _host(ip: str) -> str:
    return f'[{ip}]' if is_ipv6(ip) else ip
