"""Parses and validates path templates such as ``/theses/{id}/embargo``."""

import dataclasses
import re
from typing import Final

from sardinepier.settings.internal import display, rejection

MAX_SEGMENTS: Final = 16
_MAX_CHARACTERS: Final = 512
_LITERAL: Final = re.compile(r"[A-Za-z0-9._~!$&'()*+,;=:@-]+")
_PARAMETER: Final = re.compile(r'\{[A-Za-z_][A-Za-z0-9_]*\}')
_DOT_SEGMENTS: Final = frozenset(('.', '..'))


@dataclasses.dataclass(frozen=True, slots=True)
class Template:
    """A path template split into segments.

    ``segments`` has the literal text of each segment, or ``None`` for a
    parameter. Two templates with equal segments match the same paths.
    """

    segments: tuple[str | None, ...]

    def literal_positions(self) -> frozenset[int]:
        """Return the positions of the literal segments."""
        return frozenset(
            position
            for position, segment in enumerate(self.segments)
            if segment is not None
        )


def parse(path: str) -> Template:
    """Split a validated template into segments."""
    return Template(
        tuple(
            None if segment.startswith('{') else segment
            for segment in path[1:].split('/')
        ),
    )


def check_template(path: str) -> str:
    """Return the template unchanged, or raise ``RejectedValueError``."""
    check_path(path, parameters=True)
    names = _PARAMETER.findall(path)
    if len(set(names)) < len(names):
        raise rejection.RejectedValueError(
            f'{display.quoted(path)} uses one parameter name twice',
            'Give each `{name}` of a path its own name',
        )
    return path


def check_path(path: str, *, parameters: bool = False) -> str:
    """Return the path unchanged, or raise ``RejectedValueError``."""
    if not path.startswith('/'):
        raise rejection.RejectedValueError(
            f'{display.quoted(path)} does not start with a slash',
            f'Write {display.quoted(f"/{path}")}',
        )
    segments = path[1:].split('/')
    if len(segments) > MAX_SEGMENTS or len(path) > _MAX_CHARACTERS:
        raise rejection.RejectedValueError(
            f'{display.quoted(path)} is too long',
            f'Use at most {MAX_SEGMENTS} segments and '
            f'{_MAX_CHARACTERS} characters',
        )
    for position, segment in enumerate(segments):
        is_last = position == len(segments) - 1
        if not _is_segment(segment, parameters, is_last):
            raise _invalid_segment(path, segment, parameters)
    return path


def _is_segment(segment: str, parameters: bool, is_last: bool) -> bool:
    if not segment:
        # A path with a trailing slash, `/theses/`, has an empty last segment.
        return is_last
    if segment in _DOT_SEGMENTS:
        return False
    if parameters and _PARAMETER.fullmatch(segment):
        return True
    return _LITERAL.fullmatch(segment) is not None


def _invalid_segment(
    path: str,
    segment: str,
    parameters: bool,
) -> rejection.RejectedValueError:
    allowed = 'letters, digits and ._~!$&()*+,;=:@-'
    if parameters:
        allowed = f'{allowed}, or a whole segment such as `{{name}}`'
    return rejection.RejectedValueError(
        f'{display.quoted(path)} has the faulty segment '
        f'{display.quoted(segment)}',
        f'Between two slashes use {allowed}',
    )
