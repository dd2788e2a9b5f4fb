"""Shares of the instance list, so that no reader needs the whole list.

The services are partitioned by a hash of their names, and a reader requests
some of the parts. For example parts 3 and 12 of 18::

    share = share_of(18, (3, 12))
    share.covers(ids.ServiceName('deposits'))
    query_of(share)  # parts=18&part=3&part=12
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Annotated, Final
from urllib import parse as url_parse

import msgspec
import xxhash

from sardinepier.core import errors as core_errors
from sardinepier.core import ids

MAX_PARTS: Final = 4096
"""Maximum number of parts of the list."""

_PARTS: Final = 'parts'
_PART: Final = 'part'
_DAEMONS: Final = 'daemons'
_MAX_DIGITS: Final = 4

_PartCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_PARTS)]


class InstanceShare(msgspec.Struct, frozen=True):
    """Some of the parts of the instance list.

    ``chosen`` has part numbers from 0 to ``parts - 1`` in ascending order. The
    daemons are a separate part, because they are few and change rarely.
    """

    parts: _PartCount = 1
    chosen: tuple[int, ...] = (0,)
    has_daemons: bool = True

    def covers(self, service: ids.ServiceName) -> bool:
        """Return whether the share has all targets of ``service``."""
        return part_of(service, self.parts) in self.chosen


WHOLE: Final = InstanceShare()
"""All targets and all daemons."""

DAEMONS: Final = InstanceShare(chosen=())
"""All daemons and no targets."""


def part_of(service: ids.ServiceName, parts: int) -> int:
    """Return the number of the part that ``service`` belongs to.

    It is the 64-bit XXH3 hash of the name in UTF-8, modulo ``parts``. The
    platform and its readers must use the same function.
    """
    return xxhash.xxh3_64_intdigest(service.encode()) % parts


def share_of(
    parts: int,
    chosen: Iterable[int],
    has_daemons: bool = False,
) -> InstanceShare:
    """Return the share of the ``chosen`` parts out of ``parts``.

    Raises :class:`sardinepier.core.errors.InvalidArgumentError` for numbers
    out of range.
    """
    numbers = tuple(sorted(set(chosen)))
    _check_parts(parts)
    for number in numbers:
        _check_number(number, parts)
    return InstanceShare(parts, numbers, has_daemons)


def query_of(share: InstanceShare) -> str:
    """Return the query string for ``share``, empty for the whole list."""
    if share == WHOLE:
        return ''
    chosen = [*share.chosen, _DAEMONS] if share.has_daemons else share.chosen
    fields = [(_PARTS, share.parts), *((_PART, part) for part in chosen)]
    return url_parse.urlencode(fields)


def parse_query(fields: Mapping[str, Sequence[str]]) -> InstanceShare:
    """Return the share that a query requests; an empty query is the whole.

    ``fields`` maps each name to all its values, in order. Raises
    :class:`sardinepier.core.errors.InvalidArgumentError` when the query is
    invalid.
    """
    if not fields:
        return WHOLE
    chosen = fields.get(_PART, ())
    parts = _parse_number(_single_value(fields.get(_PARTS, ())))
    numbers = [_parse_number(part) for part in chosen if part != _DAEMONS]
    return share_of(parts, numbers, has_daemons=_DAEMONS in chosen)


def _single_value(values: Sequence[str]) -> str:
    return values[0] if len(values) == 1 else ''


def _parse_number(text: str) -> int:
    is_number = text.isascii() and text.isdigit()
    if is_number and len(text) <= _MAX_DIGITS:
        return int(text)
    raise core_errors.InvalidArgumentError(
        'The query for the instance list lacks a valid number',
        'Use a query like ?parts=18&part=3&part=12 or ?parts=1&part=daemons',
    )


def _check_parts(parts: int) -> None:
    if parts in range(1, MAX_PARTS + 1):
        return
    raise core_errors.InvalidArgumentError(
        f'The instance list cannot be partitioned into {parts} parts',
        f'Request 1 to {MAX_PARTS} parts',
    )


def _check_number(number: int, parts: int) -> None:
    if number in range(parts):
        return
    raise core_errors.InvalidArgumentError(
        f'Part {number} of {parts} does not exist',
        f'Number the parts from 0 to {parts - 1}',
    )
