"""Reading of the key that a caller sends with a request.

Keys are compared by their digests, and only digests are stored or sent to other
daemons. The key itself is not kept beyond its request.
"""

import hashlib
from typing import Final, Protocol

from sardinepier.entry import header_names, refusals

_DIGEST_BYTES: Final = 16
_PURPOSE: Final = b'customer-key'
"""Makes these digests differ from other digests of the same text."""

_MAX_KEY_CHARACTERS: Final = 512


class Headers(Protocol):
    """The headers of a request, by case-insensitive names."""

    def getall(self, name: str, default: list[str]) -> list[str]:
        """Return the values of all headers with this name."""
        ...


def key_digest(key: str) -> bytes:
    """Return the digest of ``key``, 16 bytes."""
    return hashlib.blake2b(
        key.encode(errors='surrogateescape'),
        digest_size=_DIGEST_BYTES,
        person=_PURPOSE,
    ).digest()


def sent_digest(
    headers: Headers,
    names: header_names.HeaderNames,
) -> bytes | None:
    """Return the digest of the key in a request, None without credentials.

    Raises ``UnknownKeyError`` for credentials other than a single key: another
    scheme, several headers or several words.
    """
    received = headers.getall(names.credentials, [])
    if not received:
        return None
    if len(received) > 1:
        raise unknown_key('several headers with credentials', names)
    scheme, _, key = received[0].partition(' ')
    if scheme.lower() != names.key_scheme.lower():
        raise unknown_key('credentials of another scheme', names)
    if not key or len(key) > _MAX_KEY_CHARACTERS or not key.isascii():
        raise unknown_key('credentials without a usable key', names)
    if any(character.isspace() or character == ',' for character in key):
        raise unknown_key('credentials with more than one word', names)
    return key_digest(key)


def unknown_key(
    what: str,
    names: header_names.HeaderNames,
) -> refusals.UnknownKeyError:
    """Return the error for a request that has ``what``, such as no key."""
    return refusals.UnknownKeyError(
        f'The request has {what}',
        f'Send one header {names.credentials}: {names.key_scheme} KEY',
        names.key_scheme,
    )
