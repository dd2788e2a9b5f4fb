"""Reading the key that a caller sends with a request.

Keys are compared by their digests, and only digests are kept or passed on to
other daemons: a key that was read stays in the request that brought it.
"""

import hashlib
from typing import Final, Protocol

from sardinepier.entry import header_names, refusals

_DIGEST_BYTES: Final = 16
_PURPOSE: Final = b'customer-key'
"""Keeps these digests apart from those of the same text made elsewhere."""

_MOST_KEY_CHARACTERS: Final = 512


class Headers(Protocol):
    """The headers of a request, whose names are compared without case."""

    def getall(self, name: str, default: list[str]) -> list[str]:
        """Return the values of all headers with this name."""
        ...


def key_digest(key: str) -> bytes:
    """Return what stands for ``key``; 16 bytes."""
    return hashlib.blake2b(
        key.encode(errors='surrogateescape'),
        digest_size=_DIGEST_BYTES,
        person=_PURPOSE,
    ).digest()


def sent_digest(
    headers: Headers,
    names: header_names.HeaderNames,
) -> bytes | None:
    """Return the digest of the key in a request, None without any.

    Raises ``UnknownKeyError`` for credentials that hold no single key: another
    scheme, several headers or several words.
    """
    sent = headers.getall(names.credentials, [])
    if not sent:
        return None
    if len(sent) > 1:
        raise unknown_key('several headers with credentials', names)
    scheme, _, key = sent[0].partition(' ')
    if scheme.lower() != names.key_scheme.lower():
        raise unknown_key('credentials of another scheme', names)
    if not key or len(key) > _MOST_KEY_CHARACTERS or not key.isascii():
        raise unknown_key('credentials without a usable key', names)
    if any(character.isspace() or character == ',' for character in key):
        raise unknown_key('credentials with more than one word', names)
    return key_digest(key)


def unknown_key(
    what: str,
    names: header_names.HeaderNames,
) -> refusals.UnknownKeyError:
    """Return the refusal of a request that has ``what``."""
    return refusals.UnknownKeyError(
        f'The request has {what}',
        f'Send one header {names.credentials}: {names.key_scheme} KEY',
        names.key_scheme,
    )
