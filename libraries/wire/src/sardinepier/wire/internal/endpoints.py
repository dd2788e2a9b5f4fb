"""Addresses as the socket library writes them."""

import ipaddress

from sardinepier.core import errors
from sardinepier.wire import messages


def checked_source_ip(source_ip: str | None) -> str | None:
    """Return ``source_ip``; raise ``InvalidArgumentError`` if it is none."""
    if source_ip is None:
        return None
    try:
        ipaddress.ip_address(source_ip)
    except ValueError as error:
        raise errors.InvalidArgumentError(
            f'source_ip is {source_ip!r}',
            'Pass an IP number of this instance, or leave it out',
        ) from error
    return source_ip


def is_ipv6(ip: str) -> bool:
    """Tell whether a valid IP number is of version 6."""
    return ':' in ip


def bind_endpoint(address: messages.PeerAddress) -> str:
    """Return the endpoint for listening; port 0 is left to the system."""
    port = address.port or '*'
    return f'tcp://{_host(address.ip)}:{port}'


def connect_endpoint(
    address: messages.PeerAddress,
    source_ip: str | None,
) -> str:
    """Return the endpoint for connecting, from ``source_ip`` if given."""
    destination = f'{_host(address.ip)}:{address.port}'
    if source_ip is None:
        return f'tcp://{destination}'
    return f'tcp://{_host(source_ip)}:0;{destination}'


def _host(ip: str) -> str:
    return f'[{ip}]' if is_ipv6(ip) else ip
