"""JSON lines on standard error or output, one compact object a line.

For example::

    logs.configure('info', instance_id)
    logs.event('platform_failed', 'platform does not answer', url=url)
    logs.event('ring', level=logs.Level.DEBUG, ring=lambda: describe(ring))

writes ``{"time":...,"level":"info","event":"platform_failed",...}``. A
field given as a function is only called when the line is really written.
"""

import enum
import functools
import logging
import sys
from collections.abc import Callable, Sequence
from typing import Final, TextIO

import loguru
from sardinepier.core import errors as core_errors
from sardinepier.telemetry import (
    errors,
    events,
    line_events,
    stamps,
    timeline,
)
from sardinepier.telemetry.internal import line_stream, log_lines

Plain = str | int | float | bool | None
Field = Plain | Sequence[str] | Callable[[], Plain]

_LIBRARY_EVENT: Final = 'library'


class Level(enum.Enum):
    """How much a line matters; lines below the configured level are left out.

    At ``DEBUG`` failures also show their tracebacks, which are never written
    otherwise.
    """

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


def parse_level(text: str) -> Level:
    """Return the level of that name.

    Raises ``telemetry.errors.UnknownLevelError`` when there is none.
    """
    try:
        return Level(text.lower())
    except ValueError as problem:
        known = ', '.join(level.value for level in Level)
        raise errors.UnknownLevelError(
            f'{text!r} is not a log level',
            f'Write one of {known}',
        ) from problem


def configure(
    level: str,
    instance_id: str,
    *,
    stream: TextIO | None = None,
) -> None:
    """Send all log lines of this process to ``stream`` as JSON.

    The default stream is standard error. Nothing waits for whoever reads it:
    lines without room are kept for a while, then dropped, and the number of
    those is told in a line ``lines-lost`` once there is room again.

    Lines of libraries that use the standard ``logging`` module are taken in
    as event ``library`` from level warning up: they would otherwise print
    plain text and tracebacks between our lines. May be called again to
    change the level. Raises ``telemetry.errors.UnknownLevelError``.
    """
    chosen = parse_level(level)
    writer = log_lines.Writer(
        instance_id,
        _emitter(stream),
        with_traceback=chosen is Level.DEBUG,
    )
    loguru.logger.remove()
    loguru.logger.add(
        writer.write,
        level=chosen.name,
        format='{message}',
        backtrace=False,
        diagnose=False,
    )
    logging.basicConfig(
        handlers=[_LibraryHandler()],
        level=logging.WARNING,
        force=True,
    )


def event(
    kind: str,
    message: str = '',
    *,
    level: Level = Level.INFO,
    **fields: Field,
) -> None:
    """Write one line about an event of ``kind`` with its ``fields``."""
    loguru.logger.bind(event=kind, fields=fields).log(level.name, message)


def write(
    line_event: line_events.LineEvent,
    message: str = '',
    *,
    level: Level = Level.INFO,
    is_routine: bool = False,
) -> None:
    """Write one line about a typed event.

    A routine one gives way to others where nobody takes the lines.
    """
    loguru.logger.bind(
        event=line_events.name_of(type(line_event)),
        fields=line_events.fields_of(line_event),
        routine=is_routine,
    ).log(level.name, message)


def failure(
    kind: str,
    problem: BaseException,
    *,
    level: Level = Level.WARNING,
    **fields: Field,
) -> None:
    """Write one line about a failure: its type, what it was, its remedy."""
    described: dict[str, Field] = {'error': type(problem).__name__, **fields}
    message = str(problem)
    if isinstance(problem, core_errors.SardinepierError):
        message = problem.what
        described['remedy'] = problem.remedy
    loguru.logger.opt(exception=problem).bind(
        event=kind,
        fields=described,
    ).log(level.name, message)


def timeline_entry(
    entry: timeline.TimelineEntry,
    *,
    level: Level = Level.INFO,
) -> None:
    """Write a time line entry as a line, with its stamp among the fields."""
    loguru.logger.bind(
        event=events.kind_of(entry.event),
        fields={
            'stamp': lambda: stamps.format_stamp(entry.stamp),
            **events.fields_of(entry.event),
        },
    ).log(level.name, '')


def _emitter(stream: TextIO | None) -> log_lines.Emit:
    """Return what writes lines to ``stream``, without waits if it is a file."""
    chosen = sys.stderr if stream is None else stream
    try:
        lines = line_stream.LineStream(chosen.fileno())
    except OSError:
        # One in memory, which never makes its writer wait.
        return functools.partial(_write_text, stream)
    return functools.partial(_write_line, lines)


def _write_line(
    lines: line_stream.LineStream,
    line: bytes,
    *,
    is_routine: bool,
) -> int:
    lines.write(line, is_routine=is_routine)
    return lines.pop_lost_count()


def _write_text(
    stream: TextIO | None,
    line: bytes,
    *,
    is_routine: bool,
) -> int:
    chosen = sys.stderr if stream is None else stream
    chosen.write(line.decode())
    chosen.flush()
    return 0


class _LibraryHandler(logging.Handler):
    """Passes lines of the standard ``logging`` module on as our own."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write ``record`` as an event ``library``."""
        problem = record.exc_info[1] if record.exc_info else None
        fields: dict[str, Field] = {'library': record.name}
        if problem is not None:
            fields['error'] = f'{type(problem).__name__}: {problem}'
        loguru.logger.opt(exception=problem).bind(
            event=_LIBRARY_EVENT,
            fields=fields,
        ).log(_level_of(record).name, record.getMessage())


def _level_of(record: logging.LogRecord) -> Level:
    if record.levelno >= logging.ERROR:
        return Level.ERROR
    if record.levelno >= logging.WARNING:
        return Level.WARNING
    return Level.INFO
