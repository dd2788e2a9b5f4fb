"""Parsers and validators of command-line arguments."""

import math
import re
from typing import Final

from sardinepier.cli import errors
from sardinepier.telemetry import errors as telemetry_errors
from sardinepier.telemetry import stamps

MAX_S: Final = 86_400.0
"""The maximum of options in seconds: one day."""

_METHOD: Final = re.compile('[A-Z]{1,16}')
_SERVICE: Final = re.compile(r'[A-Za-z0-9_.\-]{1,64}')
_PATH: Final = re.compile('[!"$-~]+')
_HEADER_VALUE: Final = re.compile(r'[!-~]([ -~]*[!-~])?')
_HEADER_NAME: Final = re.compile(r'[A-Za-z0-9\-]{1,64}')
_SWITCHES: Final = {'true': True, 'false': False}


def seconds(text: str) -> float:
    """Return a number of seconds above 0 and up to a day."""
    try:
        number = float(text)
    except ValueError:
        number = math.nan
    if not 0 < number <= MAX_S:
        raise errors.UsageError(
            f'{text!r} is not a time',
            f'Write a number of seconds above 0 and up to {MAX_S:g}',
        )
    return number


def switch(text: str) -> bool:
    """Return whether a switch is on."""
    is_on = _SWITCHES.get(text.lower())
    if is_on is None:
        raise errors.UsageError(
            f'{text!r} is neither true nor false',
            'Write the option without a value to switch it on',
        )
    return is_on


def method(text: str) -> str:
    """Return an HTTP method in upper case."""
    return _matching(_METHOD, text.upper(), 'an HTTP method', 'GET or POST')


def service(text: str) -> str:
    """Return the name of a service."""
    return _matching(_SERVICE, text, 'the name of a service', 'search')


def path(text: str) -> str:
    """Return a path of printable ASCII, with the rest percent-encoded."""
    return _matching(_PATH, text, 'a path', '/theses/7?lang=es')


def header_value(text: str) -> str:
    """Return a header value: printable ASCII on one line."""
    return _matching(_HEADER_VALUE, text, 'a caller name', 'library-7')


def header_name(text: str) -> str:
    """Return the name of a header."""
    return _matching(_HEADER_NAME, text, 'a header name', 'Caller-Id')


def files(paths: tuple[str, ...]) -> tuple[str, ...]:
    """Return the paths; at least one is required."""
    if not paths:
        raise errors.UsageError(
            'No file is named',
            'Write one or more paths of settings files',
        )
    return paths


def require_one_source(daemons: str, log_files: tuple[str, ...]) -> None:
    """Raise ``UsageError`` unless exactly one of the two is given."""
    if bool(daemons) == bool(log_files):
        raise errors.UsageError(
            'Either daemons or log files have to be named',
            'Write --daemons IP:PORT,... or the paths of log files',
        )


def since(text: str) -> stamps.Stamp | None:
    """Return the stamp that ``text`` names, or None for an empty text."""
    if not text:
        return None
    try:
        return stamps.parse_stamp(text)
    except telemetry_errors.BadStampError as error:
        raise errors.UsageError(error.what, error.remedy) from error


def _matching(
    pattern: re.Pattern[str],
    text: str,
    kind: str,
    example: str,
) -> str:
    if pattern.fullmatch(text) is None:
        raise errors.UsageError(
            f'{text!r} is not {kind}',
            f'Write for example {example}',
        )
    return text
