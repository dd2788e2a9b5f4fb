"""How foreign text is shown in a message: short, on one line, printable."""

from typing import Final

_SHOWN_CHARACTERS: Final = 60


def plain(text: str) -> str:
    """Escape what does not print, line ends too, and cut what is long."""
    escaped = ''.join(_printable(character) for character in _cut(text))
    if len(text) > _SHOWN_CHARACTERS:
        return f'{escaped}...'
    return escaped


def quoted(text: str) -> str:
    """Give the text as :func:`plain` does, between back quotes."""
    if not text:
        return '(empty)'
    return f'`{plain(text)}`'


def listed(words: list[str], conjunction: str = 'or') -> str:
    """Join quoted words as a sentence does: ```a`, `b` or `c```."""
    shown = [quoted(word) for word in words]
    if len(shown) < 2:
        return ''.join(shown)
    return f'{", ".join(shown[:-1])} {conjunction} {shown[-1]}'


def _cut(text: str) -> str:
    return text[:_SHOWN_CHARACTERS]


def _printable(character: str) -> str:
    if character.isprintable():
        return character
    return character.encode('unicode_escape').decode('ascii')
