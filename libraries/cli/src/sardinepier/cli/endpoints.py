"""Parses addresses of daemons on the command line: ``IP:PORT``."""

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
    """The address at which a daemon serves HTTP."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Return ``ip:port``, with an IPv6 address in brackets."""
        if ':' in self.ip:
            return f'[{self.ip}]:{self.port}'
        return f'{self.ip}:{self.port}'


def parse_endpoint(text: str) -> Endpoint:
    """Return the endpoint that ``text`` names.

    Raises :class:`errors.UsageError` for anything but ``IP:PORT``. Host names
    are not resolved, because daemons are addressed by IP address.
    """
    host, _, port = text.strip().rpartition(':')
    return Endpoint(_parse_ip(host, text), _parse_port(port, text))


def parse_endpoints(text: str) -> tuple[Endpoint, ...]:
    """Return the endpoints of a comma-separated list, without duplicates.

    Raises :class:`errors.UsageError` for an invalid endpoint or an empty list.
    """
    parts = [part for part in text.split(',') if part.strip()]
    if not parts:
        raise errors.UsageError('No daemon is named', _REMEDY)
    return tuple(dict.fromkeys(parse_endpoint(part) for part in parts))


def _parse_ip(host: str, text: str) -> str:
    is_bracketed = host.startswith('[') and host.endswith(']')
    try:
        parsed = ipaddress.ip_address(host.strip('[]'))
    except ValueError as error:
        raise _invalid_endpoint(text) from error
    if is_bracketed is not (parsed.version == _IPV6):
        raise _invalid_endpoint(text)
    return str(parsed)


def _parse_port(port: str, text: str) -> int:
    is_number = port.isascii() and port.isdecimal() and len(port) < 6
    if not is_number or not 0 < int(port) <= _MAX_PORT:
        raise _invalid_endpoint(text)
    return int(port)


def _invalid_endpoint(text: str) -> errors.UsageError:
    return errors.UsageError(f'{text!r} is not an address', _REMEDY)
