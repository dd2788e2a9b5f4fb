"""Structured logs: one compact JSON object per line.

For example::

    logs.configure('info', instance_id)
    logs.event('platform_failed', 'platform does not answer', url=url)
    logs.event('ring', level=logs.Level.DEBUG, ring=lambda: describe(ring))

writes ``{"time":...,"level":"info","event":"platform_failed",...}``. A
field given as a function is only called when the line is written.
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
    """Severity of a line; lines below the configured level are not written.

    Tracebacks are written only when the configured level is ``DEBUG``.
    """

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


def parse_level(text: str) -> Level:
    """Return the level named ``text``, in upper or lower case.

    Raises ``telemetry.errors.UnknownLevelError`` when there is none.
    """
    try:
        return Level(text.lower())
    except ValueError as error:
        known = ', '.join(level.value for level in Level)
        raise errors.UnknownLevelError(
            f'{text!r} is not a log level',
            f'Write one of {known}',
        ) from error


def configure(
    level: str,
    instance_id: str,
    *,
    stream: TextIO | None = None,
) -> None:
    """Write all log lines of this process to ``stream`` as JSON.

    The default stream is standard error. Writing never blocks: lines that a
    pipe does not accept are buffered up to a limit, then dropped. Their
    number is reported in a ``lines-lost`` line once the pipe accepts lines.

    Records of the standard ``logging`` module from level warning up become
    lines with event ``library``; libraries would otherwise write plain text
    and tracebacks to the same stream. May be called again to change the
    level. Raises ``telemetry.errors.UnknownLevelError``.
    """
    min_level = parse_level(level)
    writer = log_lines.Writer(
        instance_id,
        _emitter(stream),
        with_traceback=min_level is Level.DEBUG,
    )
    loguru.logger.remove()
    loguru.logger.add(
        writer.write,
        level=min_level.name,
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
    """Write one line with event ``kind`` and its ``fields``."""
    loguru.logger.bind(event=kind, fields=fields).log(level.name, message)


def write(
    line_event: line_events.LineEvent,
    message: str = '',
    *,
    level: Level = Level.INFO,
    is_routine: bool = False,
) -> None:
    """Write one line about a typed event.

    When the stream is full, routine lines are written after all others.
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
    """Write one line about an exception: its type, message and remedy."""
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
    """Write a timeline entry as a line, with its stamp among the fields."""
    loguru.logger.bind(
        event=events.kind_of(entry.event),
        fields={
            'stamp': lambda: stamps.format_stamp(entry.stamp),
            **events.fields_of(entry.event),
        },
    ).log(level.name, '')


def _emitter(stream: TextIO | None) -> log_lines.Emit:
    """Return a function that writes to ``stream``, non-blocking for a file."""
    output = sys.stderr if stream is None else stream
    try:
        lines = line_stream.LineStream(output.fileno())
    except OSError:
        # A stream without a descriptor is in memory and never blocks.
        return functools.partial(_write_to_memory, stream)
    return functools.partial(_write_line, lines)


def _write_line(
    lines: line_stream.LineStream,
    line: bytes,
    *,
    is_routine: bool,
) -> int:
    lines.write(line, is_routine=is_routine)
    return lines.pop_lost_count()


def _write_to_memory(
    stream: TextIO | None,
    line: bytes,
    *,
    is_routine: bool,
) -> int:
    output = sys.stderr if stream is None else stream
    output.write(line.decode())
    output.flush()
    return 0


class _LibraryHandler(logging.Handler):
    """Converts records of the standard ``logging`` module to JSON lines."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write ``record`` with event ``library``."""
        error = record.exc_info[1] if record.exc_info else None
        fields: dict[str, Field] = {'library': record.name}
        if error is not None:
            fields['error'] = f'{type(error).__name__}: {error}'
        loguru.logger.opt(exception=error).bind(
            event=_LIBRARY_EVENT,
            fields=fields,
        ).log(_level_of(record).name, record.getMessage())


def _level_of(record: logging.LogRecord) -> Level:
    if record.levelno >= logging.ERROR:
        return Level.ERROR
    if record.levelno >= logging.WARNING:
        return Level.WARNING
    return Level.INFO
