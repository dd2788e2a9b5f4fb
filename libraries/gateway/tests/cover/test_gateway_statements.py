"""Statement headers of targets, valid and invalid."""

import dataclasses

import multidict
import pytest
from sardinepier.core import clock as clocks
from sardinepier.gateway import statements

RETRY = 'Retry-After'
LEAVING = 'Leaving'
LIMIT = 'Limit'


@dataclasses.dataclass(frozen=True)
class Names:
    leaving: str = LEAVING
    limit: str = LIMIT


def read(*answer_headers, status=503):
    clock = clocks.ManualClock(1000.0)
    statement = statements.read(
        status,
        multidict.CIMultiDictProxy(multidict.CIMultiDict(answer_headers)),
        Names(),
        clock,
    )
    backoff_s = max(0.0, statement.backoff_until_s - clock.monotonic_s())
    return statement.is_leaving, backoff_s, statement.limit_per_s


EMPTY = (False, 0.0, None)

CASES = (
    # Valid.
    ((), EMPTY),
    (((LEAVING, '1'),), (True, 0.0, None)),
    (((LIMIT, '2.8'),), (False, 0.0, 2.8)),
    (((LIMIT, ' 12 '),), (False, 0.0, 12.0)),
    (((RETRY, '3'),), (False, 3.0, None)),
    (((RETRY, '0.25'),), (False, 0.25, None)),
    (((RETRY, 'Thu, 01 Jan 1970 00:16:45 GMT'),), (False, 5.0, None)),
    (
        ((RETRY, '4'), (LIMIT, '1'), (LEAVING, '1')),
        (True, 4.0, 1.0),
    ),
    # Clamped to the maximum or the minimum.
    (((RETRY, '31536000'),), (False, 30.0, None)),
    (((RETRY, 'Fri, 01 Jan 2100 00:00:00 GMT'),), (False, 30.0, None)),
    (((LIMIT, '0'),), (False, 0.0, 0.1)),
    (((LIMIT, '0.0001'),), (False, 0.0, 0.1)),
    # Ignored.
    (((LEAVING, '0'),), EMPTY),
    (((LEAVING, ''),), EMPTY),
    (((LEAVING, '1'), (LEAVING, '0')), EMPTY),
    (((RETRY, '0'),), EMPTY),
    (((RETRY, 'soon'),), EMPTY),
    (((RETRY, '-3'),), EMPTY),
    (((RETRY, 'nan'),), EMPTY),
    (((RETRY, 'inf'),), EMPTY),
    (((RETRY, '1e999'),), EMPTY),
    (((RETRY, '9' * 4000),), EMPTY),
    (((RETRY, '\u0663'),), EMPTY),
    (((RETRY, '3'), (RETRY, '9')), EMPTY),
    (((RETRY, 'Thu, 01 Jan 1970 00:00:10 GMT'),), EMPTY),
    (((RETRY, 'Thu, 99 Foo 1970 00:00:10 GMT'),), EMPTY),
    (((LIMIT, '-1'),), EMPTY),
    (((LIMIT, 'nan'),), EMPTY),
    (((LIMIT, 'many'),), EMPTY),
    (((LIMIT, '1e3'),), EMPTY),
    (((LIMIT, '9' * 4000),), EMPTY),
    (((LIMIT, '1'), (LIMIT, '5')), EMPTY),
)


@pytest.mark.parametrize(('answer_headers', 'expected'), CASES)
def test_statements_are_parsed_or_ignored(answer_headers, expected):
    assert read(*answer_headers) == pytest.approx(expected)


def test_only_a_503_states_a_backoff():
    assert read((RETRY, '3'), status=200) == EMPTY
