"""Turns a loguru record into one compact JSON line."""

import traceback
from collections.abc import Callable
from typing import Any

import loguru
import msgspec


class _Line(msgspec.Struct, omit_defaults=True):
    time: str
    level: str
    event: str
    instance_id: str
    message: str = ''
    fields: dict[str, Any] = {}
    traceback: str = ''


class Writer:
    """A loguru sink that gives each line to ``emit``."""

    def __init__(
        self,
        instance_id: str,
        emit: Callable[[str], None],
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
        encoded = msgspec.json.encode(line, enc_hook=str)
        self._emit(encoded.decode())

    def _traceback_of(self, record: 'loguru.Record') -> str:
        problem = record['exception']
        if problem is None or not self._with_traceback:
            return ''
        return ''.join(traceback.format_exception(*problem))


def _resolved(value: Any) -> Any:
    return value() if callable(value) else value
