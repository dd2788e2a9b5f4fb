"""Answers of the daemon itself to failed requests: RFC 9457 documents."""

import math
from typing import Final

import msgspec
from aiohttp import web_response

from sardinepier.core import errors as core_errors
from sardinepier.core import outcomes
from sardinepier.gateway import headers, problem_table

CONTENT_TYPE: Final = 'application/problem+json'
_TYPE_PREFIX: Final = 'urn:sardinepier:problem:'


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """The body of a problem response.

    ``remedy`` says what the caller can do. ``ticket`` is a new ticket for a
    request that came without a valid one.
    """

    type: str
    title: str
    status: int
    detail: str
    instance: str
    remedy: str
    ticket: str | None = None


def answer(
    error: core_errors.SardinepierError,
    instance: str,
    *,
    outcome: outcomes.Outcome | None = None,
    ticket: str | None = None,
) -> web_response.Response:
    """Return the problem response for a request to the path ``instance``.

    ``outcome`` overrides the outcome in the problem table.
    """
    kind = problem_table.kind_of(error)
    problem = Problem(
        type=f'{_TYPE_PREFIX}{kind.name}',
        title=kind.title,
        status=kind.status,
        detail=error.what,
        instance=instance,
        remedy=error.remedy,
        ticket=ticket,
    )
    answer_headers = {headers.OUTCOME: (outcome or kind.outcome).value}
    retry_after_s = getattr(error, 'retry_after_s', None)
    if retry_after_s is not None:
        answer_headers[headers.RETRY_AFTER] = str(
            max(1, math.ceil(retry_after_s))
        )
    return web_response.Response(
        status=kind.status,
        body=msgspec.json.encode(problem),
        headers=answer_headers,
        content_type=CONTENT_TYPE,
    )
