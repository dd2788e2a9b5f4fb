"""Hedging: a second attempt when the first of an idempotent request is slow."""

import asyncio
from collections.abc import Callable
from typing import Final

from sardinepier.core import ids
from sardinepier.gateway import context as contexts
from sardinepier.gateway import attempt, caller_request, errors, target_answer
from sardinepier.once import errors as once_errors

_MS_PER_S: Final = 1000

_AttemptTask = asyncio.Task[target_answer.TargetAnswer]


class Race:
    """Runs the attempts of one request concurrently, at most two.

    The slower attempt is cancelled, which closes its connection.
    """

    def __init__(
        self,
        context: contexts.GatewayContext,
        request: caller_request.CallerRequest,
        reserve: Callable[[], ids.TargetId | None],
        tried: set[ids.TargetId],
    ) -> None:
        """Let ``reserve`` take a free slot for the hedge, if there is one.

        The target of the hedge is added to ``tried``.
        """
        self._context = context
        self._request = request
        self._reserve = reserve
        self._tried = tried

    async def run(self, first: attempt.Attempt) -> target_answer.TargetAnswer:
        """Return the first good answer, or raise the last failure."""
        running: set[_AttemptTask] = {asyncio.ensure_future(first.run())}
        try:
            answer = await self._race(running)
        except BaseException:
            await _cancel(running)
            raise
        await _cancel(running)
        return answer

    async def _race(
        self, running: set[_AttemptTask]
    ) -> target_answer.TargetAnswer:
        policy = self._request.runtime.hedge_policy(self._request.route)
        delay_ms = policy.delay_ms()
        if delay_ms is not None:
            done, _ = await asyncio.wait(running, timeout=delay_ms / _MS_PER_S)
            if not done and self._context.wake_guard.check():
                self._start_hedge(running, policy.try_hedge)
        return await _first_good(running)

    def _start_hedge(
        self,
        running: set[_AttemptTask],
        try_hedge: Callable[[], bool],
    ) -> None:
        target_id = self._reserve()
        if target_id is None:
            return
        if not (self._is_admitted() and try_hedge()):
            self._request.runtime.release(target_id)
            return
        self._tried.add(target_id)
        hedge = attempt.Attempt(self._context, self._request, target_id)
        running.add(asyncio.ensure_future(hedge.run()))

    def _is_admitted(self) -> bool:
        try:
            self._context.quarantine.admit(self._request.fingerprint)
        except once_errors.QuarantinedError:
            return False
        return True


async def _first_good(running: set[_AttemptTask]) -> target_answer.TargetAnswer:
    failure: BaseException | None = None
    while running:
        done, _ = await asyncio.wait(
            running,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in done:
            running.discard(task)
            error = task.exception()
            if error is None:
                return task.result()
            # An unknown fate takes precedence over a proof that nothing ran.
            if not isinstance(failure, errors.UnknownFateError):
                failure = error
    assert failure is not None  # noqa: S101 - the loop ran at least once
    raise failure


async def _cancel(running: set[_AttemptTask]) -> None:
    for task in running:
        task.cancel()
    if not running:
        return
    await asyncio.wait(running)
    for task in running:
        if task.cancelled() or task.exception() is not None:
            continue
        # This attempt succeeded in the same loop iteration as the winner.
        remainder = task.result().remainder
        if remainder is not None:
            remainder.close(asyncio.CancelledError())
