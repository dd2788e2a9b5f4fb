"""The same question to many daemons at once, a few at a time."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable, Sequence
from typing import Final, Generic, TypeVar

from sardinepier.cli import endpoints, errors, reports

_AT_A_TIME: Final = 32

Answer = TypeVar('Answer')


@dataclasses.dataclass(frozen=True, slots=True)
class Gathered(Generic[Answer]):
    """The answers by daemon, in the order asked, and who gave none."""

    answers: dict[endpoints.Endpoint, Answer]
    unanswered: tuple[reports.Unanswered, ...]


async def ask_all(
    daemons: Sequence[endpoints.Endpoint],
    ask: Callable[[endpoints.Endpoint], Awaitable[Answer]],
) -> Gathered[Answer]:
    """Ask every daemon; one that fails does not hide what others say."""
    turns = asyncio.Semaphore(_AT_A_TIME)
    found = await asyncio.gather(
        *(_ask_one(daemon, ask, turns) for daemon in daemons),
    )
    by_daemon = dict(zip(daemons, found, strict=True))
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


async def _ask_one(
    daemon: endpoints.Endpoint,
    ask: Callable[[endpoints.Endpoint], Awaitable[Answer]],
    turns: asyncio.Semaphore,
) -> Answer | errors.CommandError:
    async with turns:
        try:
            return await ask(daemon)
        except errors.CommandError as problem:
            return problem


def _unanswered(
    daemon: endpoints.Endpoint,
    problem: errors.CommandError,
) -> reports.Unanswered:
    return reports.Unanswered(
        str(daemon),
        type(problem).__name__,
        problem.what,
        problem.remedy,
    )
