"""Typed log lines: what a line is about is a class, its fields are checked.

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

    Numbers carry their unit as a suffix of the field's name.
    """


@functools.cache
def name_of(kind: type[LineEvent]) -> str:
    """Return the name in the lines: ``LineEvent`` is ``line-event``."""
    return _WORD_START.sub('-', kind.__name__).lower()


def fields_of(event: LineEvent) -> dict[str, object]:
    """Return the fields of a line, in their order."""
    return msgspec.structs.asdict(event)


def all_kinds() -> tuple[type[LineEvent], ...]:
    """Return the kinds of the modules that are imported, by name."""
    return tuple(sorted(LineEvent.__subclasses__(), key=name_of))
