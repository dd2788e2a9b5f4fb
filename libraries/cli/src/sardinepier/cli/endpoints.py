"""Addresses of daemons on the command line: ``IP:PORT``."""

import ipaddress
from typing import Final

import msgspec
from sardinepier.cli import errors

_MAX_PORT: Final = 65_535
_IPV6: Final = 6
_REMEDY: Final = (
    'Write <ip>:<port>, for example 10.0.0.7:8080 or [fd00::7]:8080'
)


class Endpoint(msgspec.Struct, frozen=True, order=True):
    """Where a daemon serves HTTP."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Return ``ip:port``, with an IPv6 address in brackets."""
        if ':' in self.ip:
            return f'[{self.ip}]:{self.port}'
        return f'{self.ip}:{self.port}'


def parse_endpoint(text: str) -> Endpoint:
    """Return the endpoint that ``text`` names.

    Raises :class:`errors.UsageError` for anything but ``IP:PORT``: names are
    not looked up, because daemons are addressed by IP numbers.
    """
    host, _, port = text.strip().rpartition(':')
    return Endpoint(_parse_ip(host, text), _parse_port(port, text))


def parse_endpoints(text: str) -> tuple[Endpoint, ...]:
    """Return the endpoints of a list with commas, each once, in order.

    Raises :class:`errors.UsageError` when one is wrong or there is none.
    """
    parts = [part for part in text.split(',') if part.strip()]
    if not parts:
        raise errors.UsageError('No daemon is named', _REMEDY)
    return tuple(dict.fromkeys(parse_endpoint(part) for part in parts))


def _parse_ip(host: str, text: str) -> str:
    bracketed = host.startswith('[') and host.endswith(']')
    try:
        parsed = ipaddress.ip_address(host.strip('[]'))
    except ValueError as problem:
        raise _not_an_endpoint(text) from problem
    if bracketed is not (parsed.version == _IPV6):
        raise _not_an_endpoint(text)
    return str(parsed)


def _parse_port(port: str, text: str) -> int:
    valid = port.isascii() and port.isdecimal() and len(port) < 6
    if not valid or not 0 < int(port) <= _MAX_PORT:
        raise _not_an_endpoint(text)
    return int(port)


def _not_an_endpoint(text: str) -> errors.UsageError:
    return errors.UsageError(f'{text!r} is not an address', _REMEDY)
