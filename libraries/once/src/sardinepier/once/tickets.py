"""Tickets, which bind a caller's keys to one start of one daemon.

A ticket reads ``<instance>.<epoch>.<nonce>``, for example
``d7~00f3a1b2c3d4e5f6.12.9f86d081884c7d65``. A caller makes a key of it by
adding a full stop and a part of its own, which is new for each new request
and the same in each resend.
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
    """The right to have requests run at one home during some epochs."""

    home: ids.InstanceId
    epoch: int
    nonce: str


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKey:
    """A ticket with the part that tells one request of a caller apart."""

    ticket: Ticket
    caller_part: str


def parse_ticket(text: str) -> Ticket:
    """Return the ticket that ``text`` spells; raise ``BadKeyError`` if none."""
    match = _TICKET_PATTERN.fullmatch(text)
    if match is None:
        raise errors.BadKeyError(
            'The ticket is not of the form <instance>.<epoch>.<nonce>',
            'Ask /v1/addresses for a ticket and use it unchanged',
        )
    return _ticket(match)


def format_ticket(ticket: Ticket) -> str:
    """Return the text from which ``parse_ticket`` gives ``ticket`` again."""
    return f'{ticket.home}.{ticket.epoch}.{ticket.nonce}'


def parse_key(header: str) -> RequestKey:
    """Return the key in the value of an ``Idempotency-Key`` header.

    The value may stand in double quotes, which mean nothing. The caller's
    part has 1 to 128 letters, digits, or any of ``_ . : -``. Raises
    ``BadKeyError`` for all else.
    """
    bare = header.strip()
    if not bare.startswith(_QUOTE):
        bare = f'{_QUOTE}{bare}{_QUOTE}'
    match = _KEY_PATTERN.fullmatch(bare)
    if match is None:
        raise errors.BadKeyError(
            'The Idempotency-Key is not of the form <ticket>.<own part>',
            'Ask /v1/addresses for a ticket, then add a full stop and up to '
            '128 letters, digits or any of _ . : -',
        )
    return RequestKey(_ticket(match), match['caller_part'])


def format_key(key: RequestKey) -> str:
    """Return the header value from which ``parse_key`` gives ``key``."""
    return f'{format_ticket(key.ticket)}.{key.caller_part}'


def mint(
    home: ids.InstanceId,
    started_at_s: float,
    epoch_s: float,
    clock: clocks.Clock,
    random_source: random.Random,
) -> Ticket:
    """Return a fresh ticket for ``home``.

    ``started_at_s`` is the home's start on the local monotonic clock. It may
    be an estimate as long as it is not too early: the ticket then seems older
    than it is, and its home stops taking it sooner.
    """
    age_s = max(0.0, clock.monotonic_s() - started_at_s)
    nonce = f'{random_source.getrandbits(_NONCE_BITS):0{_NONCE_DIGITS}x}'
    return Ticket(home, int(age_s // epoch_s), nonce)


def _ticket(match: re.Match[str]) -> Ticket:
    return Ticket(
        ids.InstanceId(match['home']),
        int(match['epoch']),
        match['nonce'],
    )
