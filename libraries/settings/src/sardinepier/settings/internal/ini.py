"""Reads INI text into sections and reports all syntax errors at once.

``configparser`` stops at the first duplicate and at the first line outside a
section. To find all errors, ``read`` records the faulty line, replaces it and
parses the text again. The number of passes is bounded, because each one
parses the whole text.
"""

import configparser
import dataclasses
import io
import re
from typing import Final

from sardinepier.settings import errors
from sardinepier.settings.internal import display

# Both bound the cost of a faulty file: ``configparser`` takes quadratic time
# to report bad lines.
MAX_CHARACTERS: Final = 1_048_576
MAX_LINES: Final = 10_000
_MAX_PASSES: Final = 50
_HEADER: Final = re.compile(r'\[(?P<header>[^\]]+)\]$')
_KEY_VALUE: Final = re.compile(
    r'(?P<option>[^=]+)(?P<vi>=)\s*(?P<value>.*)$',
)
# Prefix of the title that replaces that of a duplicate section. Files with
# this character are rejected, so no real title begins with it.
_DUPLICATE_MARK: Final = '\0'
_KEY_VALUE_REMEDY: Final = (
    'Write `key = value`, a `[section]`, or a comment that starts with `#`'
)


@dataclasses.dataclass(frozen=True, slots=True)
class Section:
    """One section with its keys and values as written."""

    title: str
    entries: dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """The sections of a file and the syntax errors.

    When ``complete`` is false, reading stopped early and ``sections`` is empty
    whatever the file contains.
    """

    sections: tuple[Section, ...]
    problems: tuple[errors.Problem, ...]
    complete: bool


class _Parser(configparser.RawConfigParser):
    """An INI parser that is stricter than ``configparser``'s default.

    Keys keep their case. The default section has the empty title, which no
    header can have, so ``DEFAULT`` is an ordinary section. The patterns allow
    no text after a header and only ``=`` as separator, and a line of blanks
    doesn't make the match take quadratic time.
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
class _FaultyLine:
    """A line to replace, and the problem to report for it."""

    line_number: int
    problem: errors.Problem


def read(text: str, source: str) -> Document:
    """Read all sections. Problems are returned, never raised."""
    file_problem = _find_file_problem(text, source)
    if file_problem is not None:
        return Document((), (file_problem,), complete=False)
    lines = text.split('\n')
    problems: list[errors.Problem] = []
    for _ in range(_MAX_PASSES):
        parser = _Parser()
        faulty_lines = _parse(parser, lines, source)
        if not faulty_lines:
            return Document(_sections(parser), tuple(problems), complete=True)
        problems.extend(faulty_line.problem for faulty_line in faulty_lines)
        for faulty_line in faulty_lines:
            lines[faulty_line.line_number - 1] = _replacement(faulty_line)
    problems.append(
        _file_problem(
            source,
            f'Reading stopped after {_MAX_PASSES} repeated lines',
            'Correct these first',
        ),
    )
    return Document((), tuple(problems), complete=False)


def write(sections: list[Section]) -> str:
    """Return sections as text for :func:`read`.

    A duplicate title is written each time, so that :func:`read` reports it.
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
) -> list[_FaultyLine]:
    try:
        parser.read_string('\n'.join(lines), source)
    except configparser.Error as error:
        return _faulty_lines(error, lines, source)
    return []


def _faulty_lines(
    error: configparser.Error,
    lines: list[str],
    source: str,
) -> list[_FaultyLine]:
    match error:
        case configparser.DuplicateSectionError():
            return [_duplicate_section(error, source)]
        case configparser.DuplicateOptionError():
            return [_duplicate_key(error, source)]
        case configparser.MissingSectionHeaderError():
            return [_missing_header(error, source)]
        case configparser.ParsingError():
            return [
                _syntax_error(line_number, lines, source)
                for line_number, _ in error.errors
            ]
    raise error


def _replacement(faulty_line: _FaultyLine) -> str:
    # The header of a duplicate section gets a unique title that is ignored
    # later. Without a header its keys would join the section above.
    if (
        faulty_line.problem.key is None
        and faulty_line.problem.section is not None
    ):
        return f'[{_DUPLICATE_MARK}{faulty_line.line_number}]'
    return '#'


def _sections(parser: _Parser) -> tuple[Section, ...]:
    return tuple(
        Section(title, dict(parser.items(title)))
        for title in parser.sections()
        if not title.startswith(_DUPLICATE_MARK)
    )


def _find_file_problem(text: str, source: str) -> errors.Problem | None:
    if len(text) > MAX_CHARACTERS:
        return _file_problem(
            source,
            f'The file has {len(text)} characters',
            f'Keep it within {MAX_CHARACTERS} characters',
        )
    line_count = text.count('\n') + 1
    if line_count > MAX_LINES:
        return _file_problem(
            source,
            f'The file has {line_count} lines',
            f'Keep it within {MAX_LINES} lines',
        )
    if _DUPLICATE_MARK in text:
        line_number = text[: text.index(_DUPLICATE_MARK)].count('\n') + 1
        return _file_problem(
            source,
            f'Line {line_number} holds a NUL character',
            'Save the file as plain text',
        )
    return None


def _file_problem(source: str, what: str, remedy: str) -> errors.Problem:
    return errors.Problem(source, None, None, what, remedy)


def _duplicate_section(
    error: configparser.DuplicateSectionError,
    source: str,
) -> _FaultyLine:
    line_number = error.lineno or 1
    return _FaultyLine(
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
) -> _FaultyLine:
    line_number = error.lineno or 1
    return _FaultyLine(
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
) -> _FaultyLine:
    return _FaultyLine(
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


def _syntax_error(
    line_number: int, lines: list[str], source: str
) -> _FaultyLine:
    shown = display.quoted(lines[line_number - 1].strip())
    return _FaultyLine(
        line_number,
        errors.Problem(
            source,
            section=None,
            key=None,
            what=f'Line {line_number} cannot be read: {shown}',
            remedy=_KEY_VALUE_REMEDY,
        ),
    )
