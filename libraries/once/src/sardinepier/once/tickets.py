"""Tickets, which bind idempotency keys to one incarnation of one daemon.

A ticket has the form ``<instance>.<epoch>.<nonce>``, for example
``d7~00f3a1b2c3d4e5f6.12.9f86d081884c7d65``. The named instance is the home
of the ticket and of its keys. A caller builds a key by appending a full stop
and a part of its own, which is new for each request and the same for each
resend of that request.
"""

import dataclasses
import random
import re
from typing import Final

from sardinepier.core import clock as clocks
from sardinepier.core import ids
from sardinepier.once import errors

_NONCE_BITS: Final = 64
_NONCE_DIGITS: Final = 16
_TICKET: Final = (
    r'(?P<home>[A-Za-z0-9_.\-]{1,64}~[0-9a-f]{16})'
    r'\.(?P<epoch>0|[1-9][0-9]{0,9})'
    r'\.(?P<nonce>[0-9a-f]{16})'
)
_CALLER_PART: Final = r'(?P<caller_part>[A-Za-z0-9_.:\-]{1,128})'
_TICKET_PATTERN: Final = re.compile(_TICKET)
_KEY_PATTERN: Final = re.compile(rf'"{_TICKET}\.{_CALLER_PART}"')
_QUOTE: Final = '"'


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Permission to run requests at one home for a number of epochs."""

    home: ids.InstanceId
    epoch: int
    nonce: str


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKey:
    """A ticket and the part by which the caller identifies one request."""

    ticket: Ticket
    caller_part: str


def parse_ticket(text: str) -> Ticket:
    """Parse a ticket; raise ``BadKeyError`` if ``text`` is malformed."""
    match = _TICKET_PATTERN.fullmatch(text)
    if match is None:
        raise errors.BadKeyError(
            'The ticket is not of the form <instance>.<epoch>.<nonce>',
            'Ask /v1/addresses for a ticket and use it unchanged',
        )
    return _from_match(match)


def format_ticket(ticket: Ticket) -> str:
    """Return the text form of ``ticket``, the inverse of ``parse_ticket``."""
    return f'{ticket.home}.{ticket.epoch}.{ticket.nonce}'


def parse_key(header: str) -> RequestKey:
    """Parse the value of an ``Idempotency-Key`` header.

    Double quotes around the value are optional. The caller's part consists of
    1 to 128 letters, digits, or any of ``_ . : -``. Raises ``BadKeyError`` if
    the value is malformed.
    """
    quoted = header.strip()
    if not quoted.startswith(_QUOTE):
        quoted = f'{_QUOTE}{quoted}{_QUOTE}'
    match = _KEY_PATTERN.fullmatch(quoted)
    if match is None:
        raise errors.BadKeyError(
            'The Idempotency-Key is not of the form <ticket>.<own part>',
            'Ask /v1/addresses for a ticket, then add a full stop and up to '
            '128 letters, digits or any of _ . : -',
        )
    return RequestKey(_from_match(match), match['caller_part'])


def format_key(key: RequestKey) -> str:
    """Return the header value of ``key``, the inverse of ``parse_key``."""
    return f'{format_ticket(key.ticket)}.{key.caller_part}'


def mint(
    home: ids.InstanceId,
    started_at_s: float,
    epoch_s: float,
    clock: clocks.Clock,
    random_source: random.Random,
) -> Ticket:
    """Return a new ticket for ``home``.

    ``started_at_s`` is the start time of the home on the local monotonic
    clock. It may be estimated too late but not too early: a late estimate
    gives an older epoch, so that the ticket merely expires sooner.
    """
    age_s = max(0.0, clock.monotonic_s() - started_at_s)
    nonce = f'{random_source.getrandbits(_NONCE_BITS):0{_NONCE_DIGITS}x}'
    return Ticket(home, int(age_s // epoch_s), nonce)


def _from_match(match: re.Match[str]) -> Ticket:
    return Ticket(
        ids.InstanceId(match['home']),
        int(match['epoch']),
        match['nonce'],
    )
