"""What a daemon answers at its own paths, apart from telemetry's documents."""

import msgspec


class Address(msgspec.Struct, frozen=True):
    """A daemon to which a caller may connect, with a ticket of that daemon."""

    ip: str
    port: int
    zone: str
    ticket: str


class AddressesAnswer(msgspec.Struct, frozen=True):
    """The answer of ``/v1/addresses``, good for ``valid_s`` seconds."""

    addresses: tuple[Address, ...]
    valid_s: float


class ProblemDocument(msgspec.Struct, frozen=True):
    """The members of ``application/problem+json`` that are shown."""

    title: str = ''
    detail: str = ''
    remedy: str = ''


def parse_addresses(text: bytes) -> AddressesAnswer:
    """Read an answer; raises ``msgspec.DecodeError``."""
    return msgspec.json.decode(text, type=AddressesAnswer)


def parse_problem(text: bytes) -> ProblemDocument:
    """Read a problem document; anything else is an empty one."""
    try:
        return msgspec.json.decode(text, type=ProblemDocument)
    except msgspec.DecodeError:
        return ProblemDocument()
