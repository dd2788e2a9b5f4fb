"""Typed log lines: each event is a class with typed fields.

For example::

    class PlatformRegained(LineEvent, frozen=True):
        failures: int

    logs.write(PlatformRegained(failures=3))

writes ``{"event":"platform-regained","fields":{"failures":3},...}``.
"""

import functools
import re
from typing import Final

import msgspec

_WORD_START: Final = re.compile(r'(?<=[a-z])(?=[A-Z])')


class LineEvent(msgspec.Struct, frozen=True, kw_only=True):
    """Base of all typed log lines.

    The name of a numeric field ends in its unit, for example ``age_ms``.
    """


@functools.cache
def name_of(kind: type[LineEvent]) -> str:
    """Return the ``event`` of a class: ``LineEvent`` is ``line-event``."""
    return _WORD_START.sub('-', kind.__name__).lower()


def fields_of(event: LineEvent) -> dict[str, object]:
    """Return the fields of an event, in declaration order."""
    return msgspec.structs.asdict(event)


def all_kinds() -> tuple[type[LineEvent], ...]:
    """Return the event classes of all imported modules, sorted by name."""
    return tuple(sorted(LineEvent.__subclasses__(), key=name_of))
