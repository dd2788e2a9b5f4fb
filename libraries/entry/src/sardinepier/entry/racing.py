"""Hedging: a second attempt in parallel with a slow first one."""

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
    """Return the first good answer of two concurrent attempts.

    The second begins after ``delay_s`` seconds, unless ``start_second``
    returns None. The slower attempt is cancelled, which closes its connection.
    If neither answer is good, a failing answer of a target is preferred to an
    error, and an error with an unknown fate to a proof that nothing ran.
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
        for task in done:
            best.add(task)
        if best.is_good:
            break
    if best.answer is not None:
        return best.answer
    assert best.failure is not None  # noqa: S101 - the loop ran at least once
    raise best.failure


@dataclasses.dataclass(slots=True)
class _Best:
    """The best outcome of the attempts so far."""

    answer: answers.Answer | None = None
    failure: BaseException | None = None

    @property
    def is_good(self) -> bool:
        """Return whether there is a good answer."""
        return self.answer is not None and self.answer.is_good

    def add(self, task: _Task) -> None:
        """Record how an attempt ended; a second good answer is discarded."""
        error = task.exception()
        if error:
            self.failure = _more_severe(self.failure, error)
        elif self.is_good:
            task.result().close()
        else:
            self.answer = task.result()


def _more_severe(
    failure: BaseException | None,
    error: BaseException,
) -> BaseException:
    return failure if isinstance(failure, errors.UnknownFateError) else error


async def _cancel(running: set[_Task]) -> None:
    for task in running:
        task.cancel()
    if not running:
        return
    # Collect the outcomes, so that no exception of a task goes unretrieved.
    for outcome in await asyncio.gather(*running, return_exceptions=True):
        if isinstance(outcome, answers.Answer):
            outcome.close()
