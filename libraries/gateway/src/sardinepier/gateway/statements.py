"""Statements: what a target reports about itself in response headers.

Any answer, whatever its status, may state that the target is leaving and how
many requests a second it accepts from all daemons together. With status 503 it
may also state for how long it wants no requests. A header that can't be parsed
is ignored and does not affect the answer.
"""

import dataclasses
import http
import re
from email import utils as email_utils
from typing import Final, Protocol

import multidict

from sardinepier.core import clock as clocks
from sardinepier.gateway import headers

_DECIMAL: Final = re.compile(r'[0-9]{1,9}(?:\.[0-9]{1,9})?')
_MAX_DATE_LENGTH: Final = 40
_IS_LEAVING: Final = '1'
_MS_PER_S: Final = 1000

_MAX_BACKOFF_S: Final = 30.0
"""The longest backoff that is honoured: a wrong number must not take a target
out of service permanently."""

_MIN_LIMIT_PER_S: Final = 0.1
"""The lowest limit that is applied: without any requests to the target, no
daemon would learn from an answer that the target accepts more again."""


class StatementNames(Protocol):
    """The names of the headers that carry statements."""

    @property
    def leaving(self) -> str:
        """Return the header that states whether the target is leaving."""
        ...

    @property
    def limit(self) -> str:
        """Return the header with the accepted requests a second."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """The statement of one answer.

    ``backoff_until_s`` is the monotonic time until which the target wants no
    requests, 0.0 when it asks for no backoff. ``limit_per_s`` is None when
    the target states no limit.
    """

    is_leaving: bool = False
    backoff_until_s: float = 0.0
    limit_per_s: float | None = None


EMPTY: Final = Statement()
"""The statement of an answer without any of the headers."""


def read(
    status: int,
    answer_headers: 'multidict.CIMultiDictProxy[str]',
    names: StatementNames,
    clock: clocks.Clock,
) -> Statement:
    """Return the statement in ``answer_headers`` about the target."""
    backoff_s = 0.0
    if status == http.HTTPStatus.SERVICE_UNAVAILABLE:
        backoff_s = _backoff_s(
            _single_header(answer_headers, headers.RETRY_AFTER), clock
        )
    limit_per_s = _decimal(_single_header(answer_headers, names.limit))
    return Statement(
        is_leaving=_single_header(answer_headers, names.leaving) == _IS_LEAVING,
        backoff_until_s=clock.monotonic_s() + backoff_s
        if backoff_s > 0
        else 0.0,
        limit_per_s=(
            None if limit_per_s is None else max(_MIN_LIMIT_PER_S, limit_per_s)
        ),
    )


def _single_header(
    answer_headers: 'multidict.CIMultiDictProxy[str]', name: str
) -> str | None:
    """Return the value of a header, None if absent or repeated."""
    lines = answer_headers.getall(name, [])
    return lines[0].strip() if len(lines) == 1 else None


def _decimal(text: str | None) -> float | None:
    if text is None or not _DECIMAL.fullmatch(text):
        return None
    return float(text)


def _backoff_s(text: str | None, clock: clocks.Clock) -> float:
    """Return the backoff that a number of seconds or a date states."""
    backoff_s = _decimal(text)
    if backoff_s is None:
        backoff_s = _seconds_until(text, clock)
    return min(_MAX_BACKOFF_S, max(0.0, backoff_s))


def _seconds_until(text: str | None, clock: clocks.Clock) -> float:
    if text is None or len(text) > _MAX_DATE_LENGTH:
        return 0.0
    try:
        at_s = email_utils.parsedate_to_datetime(text).timestamp()
    except (ValueError, OverflowError):
        # An invalid date is ignored, as any header that can't be parsed.
        return 0.0
    return at_s - clock.wall_ms() / _MS_PER_S
