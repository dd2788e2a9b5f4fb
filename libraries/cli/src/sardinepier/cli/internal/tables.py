"""Plain text for people: aligned columns and harmless characters."""

from collections.abc import Iterable, Sequence
from typing import Final

_GAP: Final = '  '
_HARMLESS: Final = '\n\t'


def plain(text: str) -> str:
    """Return ``text`` with control characters written out.

    What a daemon or target sends must not be able to steer the terminal.
    """
    return ''.join(
        character
        if character.isprintable() or character in _HARMLESS
        else character.encode('unicode_escape').decode()
        for character in text
    )


def quantity(number: float | None) -> str:
    """Return a number with two decimals, or say that it is not finite."""
    if number is None:
        return 'not-finite'
    return f'{number:.2f}'


def table(
    titles: Sequence[str],
    rows: Iterable[Sequence[str]],
) -> tuple[str, ...]:
    """Return a line for the titles and one for each row, columns aligned."""
    cells = [tuple(titles), *(tuple(map(plain, row)) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return tuple(_aligned(row, widths) for row in cells)


def indented(lines: Iterable[str], depth: int = 1) -> tuple[str, ...]:
    """Return ``lines`` moved to the right by ``depth`` steps."""
    return tuple(f'{_GAP * depth}{line}' for line in lines)


def _aligned(row: Sequence[str], widths: Sequence[int]) -> str:
    cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
    return _GAP.join(cells).rstrip()
