"""Sends one attempt and classifies its answer."""

import dataclasses
from typing import Final

import aiohttp
import msgspec

from sardinepier.core import outcomes
from sardinepier.standins import target_answers
from sardinepier.workbench.traffic import options, records

OUTCOME_HEADER: Final = 'Sardinepier-Outcome'
_RETRY_AFTER_HEADER: Final = 'Retry-After'


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A caller's request. ``path`` starts with the service."""

    method: str
    path: str
    body: bytes
    tag: str


class _Problem(msgspec.Struct, frozen=True):
    title: str = ''
    detail: str = ''


async def send(
    session: aiohttp.ClientSession,
    endpoint: options.Endpoint,
    request: Request,
    headers: dict[str, str],
) -> records.Attempt:
    """Send ``request`` once and return its outcome as the caller knows it."""
    try:
        return await _exchange(session, endpoint, request, headers)
    except aiohttp.ClientConnectorError:
        return records.Attempt(records.Kind.NOT_CONNECTED)
    except TimeoutError:
        return records.Attempt(records.Kind.TIMED_OUT)
    except (aiohttp.ClientError, ConnectionError) as error:
        return records.Attempt(records.Kind.CUT, problem=repr(error))


async def _exchange(
    session: aiohttp.ClientSession,
    endpoint: options.Endpoint,
    request: Request,
    headers: dict[str, str],
) -> records.Attempt:
    async with session.request(
        request.method,
        f'{endpoint.url}{request.path}',
        data=request.body,
        headers={target_answers.TAG_HEADER: request.tag, **headers},
    ) as response:
        raw = await response.read()
        return _evaluate(request, response, raw)


def _evaluate(
    request: Request,
    response: aiohttp.ClientResponse,
    raw: bytes,
) -> records.Attempt:
    kind = _kind(request, response, raw)
    retry_after = response.headers.get(_RETRY_AFTER_HEADER, '')
    return records.Attempt(
        kind,
        status=response.status,
        retry_after_s=float(retry_after) if retry_after.isdigit() else 0.0,
        retry_allowed=bool(retry_after),
        problem=_problem(response, raw),
    )


def _kind(
    request: Request,
    response: aiohttp.ClientResponse,
    raw: bytes,
) -> records.Kind:
    outcome = response.headers.get(OUTCOME_HEADER, '')
    if outcome == outcomes.Outcome.NOT_RUN.value:
        return records.Kind.NOT_RUN
    if outcome == outcomes.Outcome.UNKNOWN.value:
        return records.Kind.UNKNOWN
    if outcome != outcomes.Outcome.COMPLETED.value:
        return records.Kind.UNMARKED
    if not response.ok:
        return records.Kind.FAILED
    is_complete = target_answers.answers_request(
        raw,
        request.tag,
        request.path,
        request.body,
    )
    return records.Kind.COMPLETED if is_complete else records.Kind.WRONG_ANSWER


def _problem(response: aiohttp.ClientResponse, raw: bytes) -> str:
    if response.content_type != 'application/problem+json':
        return ''
    try:
        problem = msgspec.json.decode(raw, type=_Problem)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return 'unreadable problem'
    return f'{problem.title}: {problem.detail}'
