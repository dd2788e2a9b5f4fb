"""A second attempt beside a slow first one, for idempotent requests."""

import asyncio
import dataclasses
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
    best = _Best()
    while running:
        done, _ = await asyncio.wait(
            running,
            return_when=asyncio.FIRST_COMPLETED,
        )
        running.difference_update(done)
        for one in done:
            best.take(one)
        if best.is_good:
            break
    if best.answer is not None:
        return best.answer
    assert best.failure is not None  # noqa: S101 - the loop ran at least once
    raise best.failure


@dataclasses.dataclass(slots=True)
class _Best:
    """The best that came of the attempts so far."""

    answer: answers.Answer | None = None
    failure: BaseException | None = None

    @property
    def is_good(self) -> bool:
        """Tell whether there is a good answer."""
        return self.answer is not None and self.answer.is_good

    def take(self, one: _Task) -> None:
        """Take in how an attempt ended; a second good answer is given up."""
        error = one.exception()
        if error:
            self.failure = _worse(self.failure, error)
        elif self.is_good:
            one.result().close()
        else:
            self.answer = one.result()


def _worse(
    failure: BaseException | None,
    error: BaseException,
) -> BaseException:
    return failure if isinstance(failure, errors.UnknownFateError) else error


async def _cancel(running: set[_Task]) -> None:
    for one in running:
        one.cancel()
    if not running:
        return
    # Whatever the losers came to, it is taken in here.
    for ended in await asyncio.gather(*running, return_exceptions=True):
        if isinstance(ended, answers.Answer):
            ended.close()
