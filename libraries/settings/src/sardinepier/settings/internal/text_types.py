"""Field types for text: names, headers, paths and choices."""

import functools
import re
from typing import Annotated, Final

import pydantic

from sardinepier.settings import model
from sardinepier.settings.internal import display, kinds, paths, rejection

_NAME: Final = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,62}')
_TOKEN: Final = re.compile("[A-Za-z0-9!#$%&'*+.^_`|~-]{1,128}")
_METHOD: Final = re.compile('[A-Z]{1,32}')
_HEADER_VALUE: Final = re.compile('[!-~]([ -~]{0,254}[!-~])?')
_DAEMON_ID: Final = re.compile('[A-Za-z0-9][A-Za-z0-9_-]{0,62}')

RESERVED_SERVICE_NAME: Final = 'v1'

# HTTP itself uses these headers. If a setting named one of them, the proxy
# would mistake a transport header for a statement of the target.
_FRAMING_HEADERS: Final = frozenset(
    (
        'connection',
        'content-length',
        'host',
        'idempotency-key',
        'keep-alive',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
_SWITCHES: Final = {'yes': True, 'no': False}
_PRIORITIES: Final = {
    priority.name.lower(): priority for priority in model.Priority
}
_LOG_LEVELS: Final = (
    'TRACE',
    'DEBUG',
    'INFO',
    'SUCCESS',
    'WARNING',
    'ERROR',
    'CRITICAL',
)


def _check_pattern(
    pattern: re.Pattern[str],
    kind: kinds.Kind,
    text: str,
) -> str:
    if pattern.fullmatch(text) is None:
        raise rejection.not_of_kind(text, kind)
    return text


def _matching(
    pattern: re.Pattern[str],
    kind: kinds.Kind,
) -> pydantic.AfterValidator:
    return pydantic.AfterValidator(
        functools.partial(_check_pattern, pattern, kind),
    )


NAME_KIND: Final = kinds.Kind(
    'a name of up to 63 letters, digits, `.`, `_` and `-`',
    'north-1',
)
Name = Annotated[str, NAME_KIND, _matching(_NAME, NAME_KIND)]

_DAEMON_KIND: Final = kinds.Kind(
    'a name of up to 63 letters, digits, `_` and `-`',
    'entry-07',
)
# A daemon's name is a part of idempotency keys, whose parts are separated by
# dots, so it can't contain dots.
DaemonName = Annotated[str, _DAEMON_KIND, _matching(_DAEMON_ID, _DAEMON_KIND)]

_METHOD_KIND: Final = kinds.Kind(
    'an HTTP method in capital letters',
    'GET',
)
Method = Annotated[str, _METHOD_KIND, _matching(_METHOD, _METHOD_KIND)]

_VALUE_KIND: Final = kinds.Kind(
    'a header value of up to 256 printable ASCII characters',
    'shed',
)
HeaderValue = Annotated[
    str,
    _VALUE_KIND,
    _matching(_HEADER_VALUE, _VALUE_KIND),
]

_TOKEN_KIND: Final = kinds.Kind('an HTTP header name', 'Draining')


def _check_header_name(text: str) -> str:
    if text.lower() in _FRAMING_HEADERS:
        raise rejection.RejectedValueError(
            f'{display.quoted(text)} already has a meaning in HTTP',
            f'Name another header, for example `{_TOKEN_KIND.example}`',
        )
    return text


HeaderName = Annotated[
    str,
    _TOKEN_KIND,
    _matching(_TOKEN, _TOKEN_KIND),
    pydantic.AfterValidator(_check_header_name),
]

PathTemplate = Annotated[
    str,
    kinds.Kind('a path, with `{name}` for any one segment', '/theses/{id}'),
    pydantic.AfterValidator(paths.check_template),
]
PlainPath = Annotated[
    str,
    kinds.Kind('a path', '/health'),
    pydantic.AfterValidator(paths.check_path),
]


def is_name(text: str) -> bool:
    """Return whether the text is a valid name in a section's title."""
    return _NAME.fullmatch(text) is not None


_SWITCH_KIND: Final = kinds.Kind('`yes` or `no`', 'no')


def _read_switch(text: str) -> bool:
    try:
        return _SWITCHES[text]
    except KeyError as error:
        raise rejection.not_of_kind(text, _SWITCH_KIND) from error


Switch = Annotated[
    bool,
    _SWITCH_KIND,
    pydantic.BeforeValidator(_read_switch),
]

_PRIORITY_KIND: Final = kinds.Kind('`high`, `normal` or `low`', 'normal')


def _read_priority(text: str) -> model.Priority:
    try:
        return _PRIORITIES[text]
    except KeyError as error:
        raise rejection.not_of_kind(text, _PRIORITY_KIND) from error


PriorityWord = Annotated[
    model.Priority,
    _PRIORITY_KIND,
    pydantic.BeforeValidator(_read_priority),
]

_LEVEL_KIND: Final = kinds.Kind(display.listed(list(_LOG_LEVELS)), 'INFO')


def _check_level(text: str) -> str:
    if text.upper() not in _LOG_LEVELS:
        raise rejection.not_of_kind(text, _LEVEL_KIND)
    return text.upper()


LogLevel = Annotated[
    str,
    _LEVEL_KIND,
    pydantic.AfterValidator(_check_level),
]


def _check_service_name(text: str) -> str:
    if text == RESERVED_SERVICE_NAME:
        raise rejection.RejectedValueError(
            f'{display.quoted(text)} begins the paths that belong to the daemon',
            'Give the service another name',
        )
    return text


ServiceNameText = Annotated[
    str,
    NAME_KIND,
    _matching(_NAME, NAME_KIND),
    pydantic.AfterValidator(_check_service_name),
]
