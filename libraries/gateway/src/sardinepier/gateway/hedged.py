"""A second attempt beside a slow first one, for idempotent requests."""

import asyncio
from collections.abc import Callable
from typing import Final

from sardinepier.core import ids
from sardinepier.gateway import context as contexts
from sardinepier.gateway import attempt, caller_request, errors, target_answer
from sardinepier.once import errors as once_errors

_MS_PER_S: Final = 1000

_Run = asyncio.Task[target_answer.TargetAnswer]


class Race:
    """The attempts of one request that run side by side, two at most.

    The loser is cancelled, which closes its connection.
    """

    def __init__(
        self,
        context: contexts.GatewayContext,
        item: caller_request.CallerRequest,
        reserve: Callable[[], ids.TargetId | None],
        tried: set[ids.TargetId],
    ) -> None:
        """Take a slot for the second attempt by ``reserve``, if one is free.

        The second target is added to ``tried``.
        """
        self._context = context
        self._item = item
        self._reserve = reserve
        self._tried = tried

    async def run(self, first: attempt.Attempt) -> target_answer.TargetAnswer:
        """Return the first good answer, or raise the last failure."""
        running: set[_Run] = {asyncio.ensure_future(first.run())}
        try:
            answer = await self._race(running)
        except BaseException:
            await _cancel(running)
            raise
        await _cancel(running)
        return answer

    async def _race(self, running: set[_Run]) -> target_answer.TargetAnswer:
        policy = self._item.runtime.hedge_policy(self._item.route)
        delay_ms = policy.delay_ms()
        if delay_ms is not None:
            done, _ = await asyncio.wait(running, timeout=delay_ms / _MS_PER_S)
            if not done and self._context.wake_guard.check():
                self._start_second(running, policy.try_hedge)
        return await _first_good(running)

    def _start_second(
        self,
        running: set[_Run],
        try_hedge: Callable[[], bool],
    ) -> None:
        target_id = self._reserve()
        if target_id is None:
            return
        if not (self._is_admitted() and try_hedge()):
            self._item.runtime.release(target_id)
            return
        self._tried.add(target_id)
        second = attempt.Attempt(self._context, self._item, target_id)
        running.add(asyncio.ensure_future(second.run()))

    def _is_admitted(self) -> bool:
        try:
            self._context.quarantine.admit(self._item.fingerprint)
        except once_errors.QuarantinedError:
            return False
        return True


async def _first_good(running: set[_Run]) -> target_answer.TargetAnswer:
    failure: BaseException | None = None
    while running:
        done, _ = await asyncio.wait(
            running,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for one in done:
            running.discard(one)
            error = one.exception()
            if error is None:
                return one.result()
            # A failure with an unknown fate outweighs a proof of not run.
            if not isinstance(failure, errors.UnknownFateError):
                failure = error
    assert failure is not None  # noqa: S101 - the loop ran at least once
    raise failure


async def _cancel(running: set[_Run]) -> None:
    for one in running:
        one.cancel()
    if not running:
        return
    await asyncio.wait(running)
    for ended in running:
        if ended.cancelled() or ended.exception() is not None:
            continue
        # It answered in the same moment as the winner.
        remainder = ended.result().remainder
        if remainder is not None:
            remainder.close(asyncio.CancelledError())
