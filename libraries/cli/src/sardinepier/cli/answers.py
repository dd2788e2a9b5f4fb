"""Answers of a daemon's own paths, except the documents of telemetry."""

import msgspec


class Address(msgspec.Struct, frozen=True):
    """The address of a daemon for a caller, with a ticket of that daemon."""

    ip: str
    port: int
    zone: str
    ticket: str


class AddressesAnswer(msgspec.Struct, frozen=True):
    """The answer of ``/v1/addresses``, valid for ``valid_s`` seconds."""

    addresses: tuple[Address, ...]
    valid_s: float


class ProblemDocument(msgspec.Struct, frozen=True):
    """The members of ``application/problem+json`` that the tool shows."""

    title: str = ''
    detail: str = ''
    remedy: str = ''


def parse_addresses(text: bytes) -> AddressesAnswer:
    """Decode an answer; raises ``msgspec.DecodeError``."""
    return msgspec.json.decode(text, type=AddressesAnswer)


def parse_problem(text: bytes) -> ProblemDocument:
    """Decode a problem document; return an empty one for other content."""
    try:
        return msgspec.json.decode(text, type=ProblemDocument)
    except msgspec.DecodeError:
        return ProblemDocument()
