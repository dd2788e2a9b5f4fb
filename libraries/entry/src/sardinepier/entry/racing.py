"""A second attempt beside a slow first one, for idempotent requests."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from sardinepier.entry import answers
from sardinepier.gateway import errors

Run = Coroutine[Any, Any, answers.Answer]
_Task = asyncio.Task[answers.Answer]


async def first_good(
    first: Run,
    delay_s: float,
    start_second: Callable[[], Run | None],
) -> answers.Answer:
    """Return the first good answer of two attempts side by side.

    The second begins after ``delay_s`` seconds, unless ``start_second``
    returns None. The loser is cancelled, which closes its connection. When
    neither is good, a target's answer that tells of a failure is returned
    before an error is raised, and an unknown fate outweighs a proof that
    nothing ran.
    """
    running: set[_Task] = {asyncio.ensure_future(first)}
    try:
        answer = await _race(running, delay_s, start_second)
    except BaseException:
        await _cancel(running)
        raise
    await _cancel(running)
    return answer


async def _race(
    running: set[_Task],
    delay_s: float,
    start_second: Callable[[], Run | None],
) -> answers.Answer:
    done, _ = await asyncio.wait(running, timeout=delay_s)
    second = None if done else start_second()
    if second is not None:
        running.add(asyncio.ensure_future(second))
    return await _first_good(running)


async def _first_good(running: set[_Task]) -> answers.Answer:
    failure: BaseException | None = None
    failed: answers.Answer | None = None
    while running:
        done, _ = await asyncio.wait(
            running,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for one in done:
            running.discard(one)
            error = one.exception()
            if error:
                failure = _worse(failure, error)
                continue
            failed = one.result()
            if failed.is_good:
                return failed
    if failed is not None:
        return failed
    assert failure is not None  # noqa: S101 - the loop ran at least once
    raise failure


def _worse(
    failure: BaseException | None,
    error: BaseException,
) -> BaseException:
    return failure if isinstance(failure, errors.UnknownFateError) else error


async def _cancel(running: set[_Task]) -> None:
    for one in running:
        one.cancel()
    if running:
        # Whatever the losers came to, it is taken in here.
        await asyncio.gather(*running, return_exceptions=True)
