"""Log lines of many processes, read from files and put in one order."""

import datetime
import pathlib
from collections.abc import Iterable, Iterator, Sequence
from typing import Any, Final

import msgspec
from sardinepier.cli import errors

_BRACE: Final = '{'
_SAME_CLOCK_S: Final = 1.0
"""A clock that is corrected moves by less; a larger step back within one
process's lines makes the order by time unsure."""


class LogLine(msgspec.Struct, frozen=True):
    """One line, as a process wrote it."""

    time: datetime.datetime
    event: str
    instance_id: str
    level: str = ''
    message: str = ''
    fields: dict[str, Any] = {}


class ReadLines(msgspec.Struct, frozen=True):
    """The lines of all files by their times, and what was wrong with them.

    ``broken`` counts lines that are no JSON lines of a daemon, and
    ``stepped_back`` names the instances whose clock went back.
    """

    lines: tuple[LogLine, ...]
    broken: int
    stepped_back: tuple[str, ...]

    def diagnostics(self) -> tuple[str, ...]:
        """Return a sentence for each thing that makes the lines unsure."""
        found = []
        if self.broken:
            found.append(f'{self.broken} lines could not be read.')
        if self.stepped_back:
            named = ', '.join(self.stepped_back)
            found.append(
                f'The clock of {named} went back, so that the order of '
                'lines from different processes is unsure.',
            )
        return tuple(found)


def read(paths: Sequence[str]) -> ReadLines:
    """Return the lines of all files.

    Lines may carry a prefix before the JSON object, as collectors add it.
    Raises ``UsageError`` for a file that can't be read, and without files.
    """
    if not paths:
        raise errors.UsageError(
            'No log file is named',
            'Name the files with the lines of all processes',
        )
    reading = _Reading()
    for path in paths:
        reading.take(_text(path))
    return reading.result()


class _Reading:
    """Gathers lines, those of each instance in the order of its file."""

    def __init__(self) -> None:
        self._lines: list[LogLine] = []
        self._broken = 0
        self._newest: dict[str, datetime.datetime] = {}
        self._stepped_back: set[str] = set()

    def take(self, text: str) -> None:
        for line in self._parsed(text.splitlines()):
            self._lines.append(line)
            newest = self._newest.get(line.instance_id, line.time)
            if (newest - line.time).total_seconds() > _SAME_CLOCK_S:
                self._stepped_back.add(line.instance_id)
            self._newest[line.instance_id] = max(newest, line.time)

    def result(self) -> ReadLines:
        return ReadLines(
            tuple(sorted(self._lines, key=_time_of)),
            self._broken,
            tuple(sorted(self._stepped_back)),
        )

    def _parsed(self, texts: Iterable[str]) -> Iterator[LogLine]:
        for text in texts:
            _, brace, rest = text.partition(_BRACE)
            if not brace:
                # Not of ours: collectors add headings and empty lines.
                continue
            try:
                yield msgspec.json.decode(brace + rest, type=LogLine)
            except msgspec.DecodeError:
                self._broken += 1


def _text(path: str) -> str:
    try:
        return pathlib.Path(path).read_text(
            encoding='utf-8',
            errors='replace',
        )
    except OSError as problem:
        raise errors.UsageError(
            f'The file {path} cannot be read ({problem.strerror})',
            'Name files that exist',
        ) from problem


def _time_of(line: LogLine) -> datetime.datetime:
    return line.time
