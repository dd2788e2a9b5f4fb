"""Formats a timeline entry as one line of plain text."""

import datetime
from typing import Final

from sardinepier.cli.internal import tables
from sardinepier.telemetry import events, stamps, timeline

_MS_PER_S: Final = 1000


def entry_line(entry: timeline.TimelineEntry) -> str:
    """Return stamp, wall time, instance id, kind and fields of ``entry``."""
    fields = events.fields_of(entry.event)
    field_texts = ' '.join(
        f'{name}={_field_text(fields[name])}' for name in fields
    )
    line = (
        f'{stamps.format_stamp(entry.stamp)} {_wall_time(entry.stamp)} '
        f'{entry.instance_id} {events.kind_of(entry.event)} {field_texts}'
    )
    return tables.plain(line.replace('\n', ' ').rstrip())


def _wall_time(stamp: stamps.Stamp) -> str:
    try:
        moment = datetime.datetime.fromtimestamp(
            stamp.wall_ms / _MS_PER_S,
            datetime.UTC,
        )
    except (OverflowError, ValueError, OSError):
        return 'unknown-time'
    return moment.isoformat(timespec='milliseconds')


def _field_text(value: object) -> str:
    if isinstance(value, tuple):
        return ','.join(map(str, value)) or '-'
    if value is None:
        return 'not-finite'
    return str(value) or '-'
