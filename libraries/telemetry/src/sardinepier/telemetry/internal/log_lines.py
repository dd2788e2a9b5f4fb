"""Turns a loguru record into one compact JSON line."""

import traceback
from typing import Any, Final, Protocol

import loguru
import msgspec


_END: Final = b'\n'
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
    """Takes one line with its end, as UTF-8.

    Returns how many lines were lost before it, once that can be told.
    """

    def __call__(self, line: bytes, *, is_routine: bool) -> int:
        """Write the line, or keep it."""
        ...


class Writer:
    """A loguru sink that gives each line to ``emit``."""

    def __init__(
        self,
        instance_id: str,
        emit: Emit,
        *,
        with_traceback: bool,
    ) -> None:
        """Name ``instance_id`` on every line."""
        self._instance_id = instance_id
        self._emit = emit
        self._with_traceback = with_traceback

    def write(self, message: 'loguru.Message') -> None:
        """Write the record that ``message`` carries."""
        record = message.record
        extra = record['extra']
        fields = extra.get('fields', {})
        line = _Line(
            time=record['time'].isoformat(timespec='milliseconds'),
            level=record['level'].name.lower(),
            event=extra.get('event', ''),
            instance_id=self._instance_id,
            message=record['message'],
            fields={name: _resolved(fields[name]) for name in fields},
            traceback=self._traceback_of(record),
        )
        lost = self._emit(
            _encoded(line), is_routine=extra.get('routine', False)
        )
        if lost:
            self._tell_lost(line, lost)

    def _tell_lost(self, last: _Line, lost: int) -> None:
        told = msgspec.structs.replace(
            last,
            level=_LOST_LEVEL,
            event=_LOST_EVENT,
            message='',
            fields={'lines': lost},
            traceback='',
        )
        self._emit(_encoded(told), is_routine=False)

    def _traceback_of(self, record: 'loguru.Record') -> str:
        problem = record['exception']
        if problem is None or not self._with_traceback:
            return ''
        return ''.join(traceback.format_exception(*problem))


def _encoded(line: _Line) -> bytes:
    return msgspec.json.encode(line, enc_hook=str) + _END


def _resolved(value: Any) -> Any:
    return value() if callable(value) else value
