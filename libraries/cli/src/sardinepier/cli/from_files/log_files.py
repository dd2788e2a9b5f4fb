"""Reads the log lines of many processes and sorts them by time."""

import datetime
import pathlib
from collections.abc import Iterable, Iterator, Sequence
from typing import Any, Final

import msgspec
from sardinepier.cli import errors

_BRACE: Final = '{'
_MAX_CLOCK_CORRECTION_S: Final = 1.0
"""Clock corrections are smaller. After a larger step back within the lines of
one process, the order by time is unreliable."""


class LogLine(msgspec.Struct, frozen=True):
    """One line, as a process wrote it."""

    time: datetime.datetime
    event: str
    instance_id: str
    level: str = ''
    message: str = ''
    fields: dict[str, Any] = {}


class ReadLines(msgspec.Struct, frozen=True):
    """The lines of all files sorted by time, and the defects found.

    ``broken`` counts lines that can't be parsed, ``stepped_back`` has the
    instances whose clock went back.
    """

    lines: tuple[LogLine, ...]
    broken: int
    stepped_back: tuple[str, ...]

    def diagnostics(self) -> tuple[str, ...]:
        """Return a sentence for each kind of defect."""
        sentences = []
        if self.broken:
            sentences.append(f'{self.broken} lines could not be read.')
        if self.stepped_back:
            instances = ', '.join(self.stepped_back)
            sentences.append(
                f'The clock of {instances} went back, so that the order of '
                'lines from different processes is unsure.',
            )
        return tuple(sentences)


def read(paths: Sequence[str]) -> ReadLines:
    """Return the lines of all files.

    Lines may have a prefix before the JSON object, as log collectors add.
    Raises ``UsageError`` without files, or for one that can't be read.
    """
    if not paths:
        raise errors.UsageError(
            'No log file is named',
            'Name the files with the lines of all processes',
        )
    collector = _LineCollector()
    for path in paths:
        collector.add(_read_text(path))
    return collector.collected()


class _LineCollector:
    """Collects lines and checks each instance's clock in file order."""

    def __init__(self) -> None:
        self._lines: list[LogLine] = []
        self._broken = 0
        self._newest: dict[str, datetime.datetime] = {}
        self._stepped_back: set[str] = set()

    def add(self, text: str) -> None:
        for line in self._parse(text.splitlines()):
            self._lines.append(line)
            newest = self._newest.get(line.instance_id, line.time)
            if (newest - line.time).total_seconds() > _MAX_CLOCK_CORRECTION_S:
                self._stepped_back.add(line.instance_id)
            self._newest[line.instance_id] = max(newest, line.time)

    def collected(self) -> ReadLines:
        return ReadLines(
            tuple(sorted(self._lines, key=_time_of)),
            self._broken,
            tuple(sorted(self._stepped_back)),
        )

    def _parse(self, texts: Iterable[str]) -> Iterator[LogLine]:
        for text in texts:
            _, brace, remainder = text.partition(_BRACE)
            if not brace:
                # Not of a daemon: collectors add headings and empty lines.
                continue
            try:
                yield msgspec.json.decode(brace + remainder, type=LogLine)
            except msgspec.DecodeError:
                self._broken += 1


def _read_text(path: str) -> str:
    try:
        return pathlib.Path(path).read_text(
            encoding='utf-8',
            errors='replace',
        )
    except OSError as error:
        raise errors.UsageError(
            f'The file {path} cannot be read ({error.strerror})',
            'Name files that exist',
        ) from error


def _time_of(line: LogLine) -> datetime.datetime:
    return line.time
