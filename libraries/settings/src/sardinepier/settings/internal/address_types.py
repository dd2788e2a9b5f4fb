"""Field types for addresses: an IPv4 address, peer seeds, HTTP URLs."""

import ipaddress
import re
from typing import Annotated, Final
from urllib import parse as url_parse

import pydantic

from sardinepier.settings import model
from sardinepier.settings.internal import kinds, number_types, rejection

_PORT_TEXT: Final = re.compile('[0-9]{1,5}')

_ADDRESS_KIND: Final = kinds.Kind(
    'the IPv4 address of one machine',
    '10.1.2.3',
)


def _check_ip(text: str) -> str:
    try:
        address = ipaddress.IPv4Address(text)
    except ipaddress.AddressValueError as error:
        raise rejection.not_of_kind(text, _ADDRESS_KIND) from error
    if address.is_unspecified or address.is_multicast:
        raise rejection.not_of_kind(text, _ADDRESS_KIND)
    return str(address)


IpAddress = Annotated[
    str,
    _ADDRESS_KIND,
    pydantic.AfterValidator(_check_ip),
]

_SEED_KIND: Final = kinds.Kind(
    'a list of `<IPv4 address>:<port>` with blanks between',
    '10.1.2.3:7000 10.1.2.4:7000',
)


def _read_seed(word: str) -> model.PeerSeed:
    ip, _, port = word.rpartition(':')
    if _PORT_TEXT.fullmatch(port) is None:
        raise rejection.not_of_kind(word, _SEED_KIND)
    number = int(port)
    if not 1 <= number <= number_types.MAX_PORT:
        raise rejection.not_of_kind(word, _SEED_KIND)
    return model.PeerSeed(ip=_check_ip(ip), port=number)


def _read_seeds(text: str) -> tuple[model.PeerSeed, ...]:
    return tuple(_read_seed(word) for word in text.split())


Seeds = Annotated[
    tuple[model.PeerSeed, ...],
    _SEED_KIND,
    pydantic.BeforeValidator(_read_seeds),
]

_SCHEMES: Final = frozenset(('http', 'https'))
_URLS_KIND: Final = kinds.Kind(
    'a list of HTTP URLs with blanks between',
    'http://10.1.0.5:8500',
)


def _read_url(word: str) -> str:
    try:
        parts = url_parse.urlsplit(word)
        has_valid_authority = bool(parts.hostname) and parts.port != 0
    except ValueError as error:
        raise rejection.not_of_kind(word, _URLS_KIND) from error
    without_query = f'{parts.scheme}://{parts.netloc}{parts.path}'
    if parts.scheme not in _SCHEMES or not has_valid_authority:
        raise rejection.not_of_kind(word, _URLS_KIND)
    if without_query != word or '@' in parts.netloc:
        raise rejection.not_of_kind(word, _URLS_KIND)
    return word.rstrip('/')


def _read_urls(text: str) -> tuple[str, ...]:
    urls = tuple(_read_url(word) for word in text.split())
    if not urls:
        raise rejection.not_of_kind(text, _URLS_KIND)
    return urls


Urls = Annotated[
    tuple[str, ...],
    _URLS_KIND,
    pydantic.BeforeValidator(_read_urls),
]
