"""Formats plain text: aligned columns, escaped control characters."""

from collections.abc import Iterable, Sequence
from typing import Final

_COLUMN_GAP: Final = '  '
_ALLOWED_CONTROLS: Final = '\n\t'


def plain(text: str) -> str:
    """Return ``text`` with control characters escaped.

    Text from a daemon or target must not control the terminal.
    """
    return ''.join(
        character
        if character.isprintable() or character in _ALLOWED_CONTROLS
        else character.encode('unicode_escape').decode()
        for character in text
    )


def quantity(number: float | None) -> str:
    """Return a number with two decimals, or ``not-finite`` for None."""
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
    """Return ``lines`` indented by ``depth`` levels."""
    return tuple(f'{_COLUMN_GAP * depth}{line}' for line in lines)


def _aligned(row: Sequence[str], widths: Sequence[int]) -> str:
    cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
    return _COLUMN_GAP.join(cells).rstrip()
