"""Converts loguru records to compact JSON lines."""

import traceback
from typing import Any, Final, Protocol

import loguru
import msgspec


_LINE_END: Final = b'\n'
_LOST_EVENT: Final = 'lines-lost'
_LOST_LEVEL: Final = 'warning'


class _Line(msgspec.Struct, omit_defaults=True):
    time: str
    level: str
    event: str
    instance_id: str
    message: str = ''
    fields: dict[str, Any] = {}
    traceback: str = ''


class Emit(Protocol):
    """Writes one line, in UTF-8 with its line feed.

    Returns how many earlier lines were lost and not reported yet, or 0 while
    buffered lines are still to be written.
    """

    def __call__(self, line: bytes, *, is_routine: bool) -> int:
        """Write or buffer the line."""
        ...


class Writer:
    """A loguru sink that passes each line to ``emit``."""

    def __init__(
        self,
        instance_id: str,
        emit: Emit,
        *,
        with_traceback: bool,
    ) -> None:
        """Put ``instance_id`` into every line."""
        self._instance_id = instance_id
        self._emit = emit
        self._with_traceback = with_traceback

    def write(self, message: 'loguru.Message') -> None:
        """Write the record of ``message``."""
        record = message.record
        extra = record['extra']
        fields = extra.get('fields', {})
        line = _Line(
            time=record['time'].isoformat(timespec='milliseconds'),
            level=record['level'].name.lower(),
            event=extra.get('event', ''),
            instance_id=self._instance_id,
            message=record['message'],
            fields={name: _evaluated(fields[name]) for name in fields},
            traceback=self._traceback_of(record),
        )
        lost_count = self._emit(
            _encoded(line), is_routine=extra.get('routine', False)
        )
        if lost_count:
            self._report_lost(line, lost_count)

    def _report_lost(self, line: _Line, lost_count: int) -> None:
        report = msgspec.structs.replace(
            line,
            level=_LOST_LEVEL,
            event=_LOST_EVENT,
            message='',
            fields={'lines': lost_count},
            traceback='',
        )
        self._emit(_encoded(report), is_routine=False)

    def _traceback_of(self, record: 'loguru.Record') -> str:
        error = record['exception']
        if error is None or not self._with_traceback:
            return ''
        return ''.join(traceback.format_exception(*error))


def _encoded(line: _Line) -> bytes:
    return msgspec.json.encode(line, enc_hook=str) + _LINE_END


def _evaluated(value: Any) -> Any:
    return value() if callable(value) else value
