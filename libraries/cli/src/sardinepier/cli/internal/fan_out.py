"""Sends the same request to many daemons with bounded concurrency."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable, Sequence
from typing import Final, Generic, TypeVar

from sardinepier.cli import endpoints, errors, reports

_MAX_CONCURRENT_QUERIES: Final = 32

Answer = TypeVar('Answer')


@dataclasses.dataclass(frozen=True, slots=True)
class Gathered(Generic[Answer]):
    """The answers by daemon, in order, and the daemons without one."""

    answers: dict[endpoints.Endpoint, Answer]
    unanswered: tuple[reports.Unanswered, ...]


async def query_all(
    daemons: Sequence[endpoints.Endpoint],
    query: Callable[[endpoints.Endpoint], Awaitable[Answer]],
) -> Gathered[Answer]:
    """Send a request to every daemon and collect answers and failures."""
    semaphore = asyncio.Semaphore(_MAX_CONCURRENT_QUERIES)
    replies = await asyncio.gather(
        *(_query_daemon(daemon, query, semaphore) for daemon in daemons),
    )
    by_daemon = dict(zip(daemons, replies, strict=True))
    return Gathered(
        {
            daemon: answer
            for daemon, answer in by_daemon.items()
            if not isinstance(answer, errors.CommandError)
        },
        tuple(
            _unanswered(daemon, answer)
            for daemon, answer in by_daemon.items()
            if isinstance(answer, errors.CommandError)
        ),
    )


async def _query_daemon(
    daemon: endpoints.Endpoint,
    query: Callable[[endpoints.Endpoint], Awaitable[Answer]],
    semaphore: asyncio.Semaphore,
) -> Answer | errors.CommandError:
    async with semaphore:
        try:
            return await query(daemon)
        except errors.CommandError as error:
            return error


def _unanswered(
    daemon: endpoints.Endpoint,
    error: errors.CommandError,
) -> reports.Unanswered:
    return reports.Unanswered(
        str(daemon),
        type(error).__name__,
        error.what,
        error.remedy,
    )
