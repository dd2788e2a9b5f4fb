"""What a target says of itself in the head of an answer.

Each answer may tell it, whatever became of the request: that the target leaves,
how many requests a second it takes from all daemons together, and with a
status of 503 for how long it wants none. A header that can't be read says
nothing; the answer is as good as without it.
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
_LONGEST_DATE: Final = 40
_YES: Final = '1'
_MS_PER_S: Final = 1000

_LONGEST_REST_S: Final = 30.0
"""A target that asks for more is asked again after this time: a wrong figure
must not take it out of service for good."""

_LEAST_LIMIT_PER_S: Final = 0.1
"""A target that names less is given this: without any answer of it nobody would
learn that it takes more again."""


class StatementNames(Protocol):
    """The headers in which targets speak of themselves."""

    @property
    def leaving(self) -> str:
        """Return the header that says whether the target leaves."""
        ...

    @property
    def limit(self) -> str:
        """Return the header with the requests a second that it takes."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """What one answer told.

    ``backoff_until_s`` is a reading of the monotonic clock until which the target
    wants no request, 0.0 when it asks for no rest. ``limit_per_s`` is None
    when it names no limit.
    """

    is_leaving: bool = False
    backoff_until_s: float = 0.0
    limit_per_s: float | None = None


EMPTY: Final = Statement()
"""What most answers tell."""


def read(
    status: int,
    told: 'multidict.CIMultiDictProxy[str]',
    names: StatementNames,
    clock: clocks.Clock,
) -> Statement:
    """Return what an answer with the headers ``told`` says of its target."""
    rest_s = 0.0
    if status == http.HTTPStatus.SERVICE_UNAVAILABLE:
        rest_s = _rest_s(_only(told, headers.RETRY_AFTER), clock)
    limit_per_s = _decimal(_only(told, names.limit))
    return Statement(
        is_leaving=_only(told, names.leaving) == _YES,
        backoff_until_s=clock.monotonic_s() + rest_s if rest_s > 0 else 0.0,
        limit_per_s=(
            None
            if limit_per_s is None
            else max(_LEAST_LIMIT_PER_S, limit_per_s)
        ),
    )


def _only(told: 'multidict.CIMultiDictProxy[str]', name: str) -> str | None:
    """Return the value of a header, None unless there is just one."""
    texts = told.getall(name, [])
    return texts[0].strip() if len(texts) == 1 else None


def _decimal(text: str | None) -> float | None:
    if text is None or not _DECIMAL.fullmatch(text):
        return None
    return float(text)


def _rest_s(text: str | None, clock: clocks.Clock) -> float:
    """Return how long the target wants to rest, as seconds or a date tell."""
    rest_s = _decimal(text)
    if rest_s is None:
        rest_s = _left_until(text, clock)
    return min(_LONGEST_REST_S, max(0.0, rest_s))


def _left_until(text: str | None, clock: clocks.Clock) -> float:
    if text is None or len(text) > _LONGEST_DATE:
        return 0.0
    try:
        at_s = email_utils.parsedate_to_datetime(text).timestamp()
    except (ValueError, OverflowError):
        # A header that can't be read says nothing.
        return 0.0
    return at_s - clock.wall_ms() / _MS_PER_S
