"""Names of headers, and which headers are forwarded."""

from collections.abc import Iterable
from typing import Final

import multidict

OUTCOME: Final = 'Sardinepier-Outcome'
DEADLINE: Final = 'Sardinepier-Deadline-Ms'
RELAYED: Final = 'Sardinepier-Relayed'
IDEMPOTENCY_KEY: Final = 'Idempotency-Key'
RETRY_AFTER: Final = 'Retry-After'
CONTENT_LENGTH: Final = 'Content-Length'
TRANSFER_ENCODING: Final = 'Transfer-Encoding'

_CONNECTION: Final = 'Connection'
_COMMA: Final = ','
_HOP_BY_HOP: Final = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
_SET_BY_DAEMON: Final = frozenset(
    (
        'content-length',
        'expect',
        DEADLINE.lower(),
        RELAYED.lower(),
        OUTCOME.lower(),
    )
)

_NOT_FORWARDED: Final = _HOP_BY_HOP | _SET_BY_DAEMON

Pairs = tuple[tuple[str, str], ...]


def for_target(
    headers: 'multidict.CIMultiDictProxy[str]',
) -> list[tuple[str, str]]:
    """Return the caller's headers to forward to the target, in order."""
    return _end_to_end(headers)


def for_caller(headers: 'multidict.CIMultiDictProxy[str]') -> Pairs:
    """Return the target's headers to forward to the caller, in order."""
    return tuple(_end_to_end(headers))


def is_readable(pairs: Iterable[tuple[str, str]]) -> bool:
    """Return whether all values are UTF-8, as forwarding requires."""
    return all(
        text.isascii() or text.encode(errors='replace').decode() == text
        for _, text in pairs
    )


def _end_to_end(
    headers: 'multidict.CIMultiDictProxy[str]',
) -> list[tuple[str, str]]:
    not_forwarded = _NOT_FORWARDED
    if _CONNECTION in headers:
        not_forwarded = _NOT_FORWARDED | _named_by_connection(headers)
    return [
        (name, text)
        for name, text in headers.items()
        if name.lower() not in not_forwarded
    ]


def _named_by_connection(
    headers: 'multidict.CIMultiDictProxy[str]',
) -> frozenset[str]:
    return frozenset(
        token.strip().lower()
        for line in headers.getall(_CONNECTION)
        for token in line.split(_COMMA)
    )
