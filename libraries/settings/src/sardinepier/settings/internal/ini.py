"""Text to sections, with every mistake of syntax found in one go.

``configparser`` stops at the first duplicate and at the first line outside a
section. To report all mistakes at once, the faulty line is noted, taken out
and the text read again. The number of such rounds is bounded, because each
costs a whole pass over the text.
"""

import configparser
import dataclasses
import io
import re
from typing import Final

from sardinepier.settings import errors
from sardinepier.settings.internal import display

# Both bound what a faulty file can cost: the library's own report of bad
# lines takes quadratic time.
MAX_CHARACTERS: Final = 1_048_576
MAX_LINES: Final = 10_000
_MAX_ROUNDS: Final = 50
_HEADER: Final = re.compile(r'\[(?P<header>[^\]]+)\]$')
_KEY_VALUE: Final = re.compile(
    r'(?P<option>[^=]+)(?P<vi>=)\s*(?P<value>.*)$',
)
# Marks the title of a repeated section. No file that is read contains it.
_REPEATED: Final = '\0'
_KEY_VALUE_REMEDY: Final = (
    'Write `key = value`, a `[section]`, or a comment that starts with `#`'
)


@dataclasses.dataclass(frozen=True, slots=True)
class Section:
    """The raw content of one section: keys and values as written."""

    title: str
    entries: dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """What could be read, and what could not.

    When ``complete`` is false, reading stopped early: ``sections`` is empty
    and says nothing about what the file holds.
    """

    sections: tuple[Section, ...]
    problems: tuple[errors.Problem, ...]
    complete: bool


class _Parser(configparser.RawConfigParser):
    """INI without surprises.

    Keys keep their case. ``DEFAULT`` is a section like any other, because a
    header cannot be empty. The patterns are stricter than the library's: no
    text may follow a header, only ``=`` separates, and a line of blanks does
    not make the match take quadratic time.
    """

    SECTCRE = _HEADER  # noqa: WPS115 the library's name
    OPTCRE = _KEY_VALUE  # noqa: WPS115 the library's name

    def __init__(self) -> None:
        super().__init__(
            strict=True,
            interpolation=None,
            default_section='',
        )

    def optionxform(self, optionstr: str) -> str:
        return optionstr


@dataclasses.dataclass(frozen=True, slots=True)
class _Fault:
    """A line to take out, and the problem to report for it."""

    line_number: int
    problem: errors.Problem


def read(text: str, source: str) -> Document:
    """Read all sections. Mistakes are returned, never raised."""
    unfit = _find_unfit(text, source)
    if unfit is not None:
        return Document((), (unfit,), complete=False)
    lines = text.split('\n')
    problems: list[errors.Problem] = []
    for _ in range(_MAX_ROUNDS):
        parser = _Parser()
        faults = _parse(parser, lines, source)
        if not faults:
            return Document(_sections(parser), tuple(problems), complete=True)
        problems.extend(fault.problem for fault in faults)
        for fault in faults:
            lines[fault.line_number - 1] = _replacement(fault)
    problems.append(
        _whole_file(
            source,
            f'Reading stopped after {_MAX_ROUNDS} repeated lines',
            'Correct these first',
        ),
    )
    return Document((), tuple(problems), complete=False)


def write(sections: list[Section]) -> str:
    """Write sections as text that :func:`read` takes.

    A repeated title is written as often as it comes, so that reading the
    text reports it.
    """
    text = io.StringIO()
    for section in sections:
        parser = _Parser()
        parser.read_dict({section.title: section.entries})
        parser.write(text)
    return f'{text.getvalue().rstrip()}\n'


def _parse(
    parser: _Parser,
    lines: list[str],
    source: str,
) -> list[_Fault]:
    try:
        parser.read_string('\n'.join(lines), source)
    except configparser.Error as error:
        return _faults(error, lines, source)
    return []


def _faults(
    error: configparser.Error,
    lines: list[str],
    source: str,
) -> list[_Fault]:
    match error:
        case configparser.DuplicateSectionError():
            return [_duplicate_section(error, source)]
        case configparser.DuplicateOptionError():
            return [_duplicate_key(error, source)]
        case configparser.MissingSectionHeaderError():
            return [_missing_header(error, source)]
        case configparser.ParsingError():
            return [
                _syntax(line_number, lines, source)
                for line_number, _ in error.errors
            ]
    raise error


def _replacement(fault: _Fault) -> str:
    # A repeated header becomes a section of its own, which nobody reads:
    # its keys must not fall into the section above.
    if fault.problem.key is None and fault.problem.section is not None:
        return f'[{_REPEATED}{fault.line_number}]'
    return '#'


def _sections(parser: _Parser) -> tuple[Section, ...]:
    return tuple(
        Section(title, dict(parser.items(title)))
        for title in parser.sections()
        if not title.startswith(_REPEATED)
    )


def _find_unfit(text: str, source: str) -> errors.Problem | None:
    if len(text) > MAX_CHARACTERS:
        return _whole_file(
            source,
            f'The file has {len(text)} characters',
            f'Keep it within {MAX_CHARACTERS} characters',
        )
    line_count = text.count('\n') + 1
    if line_count > MAX_LINES:
        return _whole_file(
            source,
            f'The file has {line_count} lines',
            f'Keep it within {MAX_LINES} lines',
        )
    if _REPEATED in text:
        line_number = text[: text.index(_REPEATED)].count('\n') + 1
        return _whole_file(
            source,
            f'Line {line_number} holds a NUL character',
            'Save the file as plain text',
        )
    return None


def _whole_file(source: str, what: str, remedy: str) -> errors.Problem:
    return errors.Problem(source, None, None, what, remedy)


def _duplicate_section(
    error: configparser.DuplicateSectionError,
    source: str,
) -> _Fault:
    line_number = error.lineno or 1
    return _Fault(
        line_number,
        errors.Problem(
            source,
            section=display.plain(error.section),
            key=None,
            what=f'Line {line_number} opens this section a second time',
            remedy='Join both sections, or give one of them another name',
        ),
    )


def _duplicate_key(
    error: configparser.DuplicateOptionError,
    source: str,
) -> _Fault:
    line_number = error.lineno or 1
    return _Fault(
        line_number,
        errors.Problem(
            source,
            section=display.plain(error.section),
            key=display.plain(error.option),
            what=f'Line {line_number} sets this key a second time',
            remedy='Keep one of the lines',
        ),
    )


def _missing_header(
    error: configparser.MissingSectionHeaderError,
    source: str,
) -> _Fault:
    return _Fault(
        error.lineno,
        errors.Problem(
            source,
            section=None,
            key=None,
            what=(
                f'Line {error.lineno} stands before the first section: '
                f'{display.quoted(error.line.strip())}'
            ),
            remedy='Put a section such as `[service]` above it',
        ),
    )


def _syntax(line_number: int, lines: list[str], source: str) -> _Fault:
    shown = display.quoted(lines[line_number - 1].strip())
    return _Fault(
        line_number,
        errors.Problem(
            source,
            section=None,
            key=None,
            what=f'Line {line_number} cannot be read: {shown}',
            remedy=_KEY_VALUE_REMEDY,
        ),
    )
