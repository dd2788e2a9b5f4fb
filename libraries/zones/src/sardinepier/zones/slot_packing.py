"""Packs the requests in flight at targets into few bytes.

Each target takes one byte if it is among the seven after the previous one and
has fewer than 15 requests: the gap to the previous index in the upper bits, the
count in the lower four. Greater numbers continue in further bytes, seven bits in
each. For example::

    pack({3: 2, 4: 1})  # two bytes
    unpack(packed)  # {3: 2, 4: 1}
"""

from collections.abc import Iterator, Mapping
from typing import Final

_COUNT_BITS: Final = 4
_MAX_INLINE: Final = 15
"""Stands for a count that follows as a number of its own."""

_GROUP_BITS: Final = 7
_MORE: Final = 0x80
_GROUP_MASK: Final = 0x7F


def pack(counts: Mapping[int, int]) -> bytes:
    """Return the bytes of non-negative counts by non-negative index."""
    packed = bytearray()
    previous = -1
    for index in sorted(counts):
        gap = index - previous - 1
        count = counts[index]
        inline = min(count, _MAX_INLINE)
        _append(packed, gap << _COUNT_BITS | inline)
        if inline == _MAX_INLINE:
            _append(packed, count - _MAX_INLINE)
        previous = index
    return bytes(packed)


def unpack(packed: bytes) -> dict[int, int]:
    """Return the counts by index; an incomplete last one is left out."""
    counts = {}
    numbers = _numbers(packed)
    index = -1
    for number in numbers:
        index += 1 + (number >> _COUNT_BITS)
        count = number & _MAX_INLINE
        if count == _MAX_INLINE:
            excess = next(numbers, None)
            if excess is None:
                break
            count += excess
        counts[index] = count
    return counts


def _append(packed: bytearray, number: int) -> None:
    while number > _GROUP_MASK:
        packed.append(number & _GROUP_MASK | _MORE)
        number >>= _GROUP_BITS
    packed.append(number)


def _numbers(packed: bytes) -> Iterator[int]:
    number = 0
    shift = 0
    for octet in packed:
        number |= (octet & _GROUP_MASK) << shift
        shift += _GROUP_BITS
        if octet < _MORE:
            yield number
            number = 0
            shift = 0
