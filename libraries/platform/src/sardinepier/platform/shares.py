"""Shares of the instance list, so that no reader needs the whole of it.

The services are divided into parts by a hash of their names, and a reader
asks for some of the parts. For example the 3rd and the 12th of 18 parts::

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
"""The list is never divided into more parts."""

_PARTS: Final = 'parts'
_PART: Final = 'part'
_DAEMONS: Final = 'daemons'
_MOST_DIGITS: Final = 4

_PartCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_PARTS)]


class InstanceShare(msgspec.Struct, frozen=True):
    """Some of the parts into which the list is divided.

    ``chosen`` numbers parts from 0 to ``parts - 1``, in rising order. The
    daemons are a part of their own, because they are few and change rarely.
    """

    parts: _PartCount = 1
    chosen: tuple[int, ...] = (0,)
    has_daemons: bool = True

    def covers(self, service: ids.ServiceName) -> bool:
        """Tell whether the share has all targets of ``service``."""
        return part_of(service, self.parts) in self.chosen


WHOLE: Final = InstanceShare()
"""All targets and all daemons."""

DAEMONS: Final = InstanceShare(chosen=())
"""All daemons and no targets."""


def part_of(service: ids.ServiceName, parts: int) -> int:
    """Return the number of the part that ``service`` belongs to.

    It is the 64-bit XXH3 hash of the name in UTF-8, modulo ``parts``. The
    platform and its readers must agree on it.
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
    """Return the query that asks for ``share``; empty for the whole."""
    if share == WHOLE:
        return ''
    named = [*share.chosen, _DAEMONS] if share.has_daemons else share.chosen
    fields = [(_PARTS, share.parts), *((_PART, one) for one in named)]
    return url_parse.urlencode(fields)


def parse_query(fields: Mapping[str, Sequence[str]]) -> InstanceShare:
    """Return the share that a query asks for; an empty one for the whole.

    ``fields`` has all values of each name, in their order. Raises
    :class:`sardinepier.core.errors.InvalidArgumentError` when they name no
    share.
    """
    if not fields:
        return WHOLE
    named = fields.get(_PART, ())
    parts = _parse_number(_only(fields.get(_PARTS, ())))
    numbers = [_parse_number(one) for one in named if one != _DAEMONS]
    return share_of(parts, numbers, has_daemons=_DAEMONS in named)


def _only(values: Sequence[str]) -> str:
    return values[0] if len(values) == 1 else ''


def _parse_number(text: str) -> int:
    is_number = text.isascii() and text.isdigit()
    if is_number and len(text) <= _MOST_DIGITS:
        return int(text)
    raise core_errors.InvalidArgumentError(
        'The query for the instance list has no number where one must be',
        'Ask like ?parts=18&part=3&part=12, or ?parts=1&part=daemons',
    )


def _check_parts(parts: int) -> None:
    if parts in range(1, MAX_PARTS + 1):
        return
    raise core_errors.InvalidArgumentError(
        f'The instance list is asked for in {parts} parts',
        f'Ask for 1 to {MAX_PARTS} parts',
    )


def _check_number(number: int, parts: int) -> None:
    if number in range(parts):
        return
    raise core_errors.InvalidArgumentError(
        f'There is no part {number} of {parts}',
        f'Number the parts from 0 to {parts - 1}',
    )
