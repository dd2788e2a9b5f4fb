"""Formats text from files for messages: short, one line, printable."""

from typing import Final

_MAX_SHOWN_CHARACTERS: Final = 60


def plain(text: str) -> str:
    """Escape unprintable characters and line ends, and truncate the text."""
    escaped = ''.join(_printable(character) for character in _truncate(text))
    if len(text) > _MAX_SHOWN_CHARACTERS:
        return f'{escaped}...'
    return escaped


def quoted(text: str) -> str:
    """Return the text of :func:`plain` between backticks."""
    if not text:
        return '(empty)'
    return f'`{plain(text)}`'


def listed(words: list[str], conjunction: str = 'or') -> str:
    """Join quoted words for a sentence: ```a`, `b` or `c```."""
    shown = [quoted(word) for word in words]
    if len(shown) < 2:
        return ''.join(shown)
    return f'{", ".join(shown[:-1])} {conjunction} {shown[-1]}'


def _truncate(text: str) -> str:
    return text[:_MAX_SHOWN_CHARACTERS]


def _printable(character: str) -> str:
    if character.isprintable():
        return character
    return character.encode('unicode_escape').decode('ascii')
