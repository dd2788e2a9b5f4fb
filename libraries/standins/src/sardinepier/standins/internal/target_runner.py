"""Runs the requests of a stand-in target."""

import asyncio
import contextlib
import http
import random
from collections.abc import Callable, Iterator
from typing import Final

from aiohttp import web

from sardinepier.core import clock, errors
from sardinepier.standins import (
    target_answers,
    target_executions,
    target_faults,
    target_settings,
)
from sardinepier.standins.internal import target_drain, target_replies

_HUNDRED: Final = 100.0
_HANG_S: Final = 3600.0
_MS_PER_S: Final = 1000.0


class RequestRunner:
    """Runs requests in a bounded number of slots.

    A request that is cancelled, because its client disconnected, releases its
    slot at once; its execution stays counted.
    """

    def __init__(
        self,
        options: target_settings.TargetStandinSettings,
        time_source: clock.Clock,
        random_source: random.Random,
        on_crash: Callable[[], None],
    ) -> None:
        """Start with all slots free."""
        self.faults = target_faults.FaultSource(time_source, random_source)
        self.faults.set_fault(target_faults.Fault(poison=options.poison))
        self.drain = target_drain.Drain(time_source, options.drain_ms)
        self.executions = target_executions.ExecutionLog(
            options.target_id,
            options.executions_path,
        )
        self.in_flight = 0
        self._options = options
        self._clock = time_source
        self._random = random_source
        self._on_crash = on_crash
        self._started = 0

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Run or refuse one request."""
        body = await request.read()
        try:
            deadline_s = self._read_deadline(request)
        except errors.InvalidArgumentError as error:
            return target_replies.fail(http.HTTPStatus.BAD_REQUEST, str(error))
        if self._must_refuse(deadline_s):
            self.executions.record_shed()
            return target_replies.shed()
        effect = self.faults.draw(body)
        if self._drops_at(effect, target_faults.DropMoment.BEFORE):
            return target_replies.drop(request)
        with self._slot(request):
            return await self._run(request, body, effect, deadline_s)

    async def _run(
        self,
        request: web.Request,
        body: bytes,
        effect: target_faults.Effect,
        deadline_s: float,
    ) -> web.StreamResponse:
        if effect is target_faults.Effect.CRASH:
            self._on_crash()
            return target_replies.drop(request)
        service_s = self._service_s(effect)
        if self._drops_at(effect, target_faults.DropMoment.DURING):
            await asyncio.sleep(service_s / 2)
            return target_replies.drop(request)
        left_s = deadline_s - self._clock.monotonic_s()
        await asyncio.sleep(min(service_s, left_s))
        if service_s > left_s:
            return target_replies.fail(
                http.HTTPStatus.GATEWAY_TIMEOUT,
                'The deadline passed while the request ran',
            )
        return await self._finish(request, body, effect)

    async def _finish(
        self,
        request: web.Request,
        body: bytes,
        effect: target_faults.Effect,
    ) -> web.StreamResponse:
        if self._drops_at(effect, target_faults.DropMoment.AFTER):
            return target_replies.drop(request)
        if effect is target_faults.Effect.ERROR:
            return target_replies.fail(
                http.HTTPStatus.INTERNAL_SERVER_ERROR,
                'An injected error',
            )
        if effect is target_faults.Effect.WRONG:
            return target_replies.answer(
                self._answer_content(request, b'wrong')
            )
        content = self._answer_content(request, body)
        if effect is target_faults.Effect.TRUNCATED:
            return await target_replies.truncate(request, content)
        if self._drops_at(effect, target_faults.DropMoment.IDLE):
            target_replies.drop_when_idle(request)
        return target_replies.answer(content)

    def _answer_content(
        self,
        request: web.Request,
        body: bytes,
    ) -> target_answers.TargetAnswer:
        return target_answers.TargetAnswer(
            target_id=self._options.target_id,
            request_tag=request.headers.get(target_answers.TAG_HEADER, ''),
            method=request.method,
            path=request.path,
            body_digest=target_answers.digest(body),
            padding_bytes=self._options.answer_bytes,
            padding='x' * self._options.answer_bytes,
        )

    @contextlib.contextmanager
    def _slot(self, request: web.Request) -> Iterator[None]:
        self.in_flight += 1
        self._started += 1
        self.executions.record(
            request.headers.get(target_answers.KEY_HEADER, ''),
            request.headers.get(target_answers.TAG_HEADER, ''),
        )
        try:
            yield
        finally:
            self.in_flight -= 1

    def _must_refuse(self, deadline_s: float) -> bool:
        is_late = deadline_s <= self._clock.monotonic_s()
        is_full = self.in_flight >= self._options.slots
        return is_late or is_full or self.drain.refuses

    def _drops_at(
        self,
        effect: target_faults.Effect,
        moment: target_faults.DropMoment,
    ) -> bool:
        is_drop = effect is target_faults.Effect.DROP
        return is_drop and self.faults.fault.drop_moment is moment

    def _service_s(self, effect: target_faults.Effect) -> float:
        if effect is target_faults.Effect.HANG:
            return _HANG_S
        jitter = self._options.jitter_percent / _HUNDRED
        factor = self._random.uniform(1 - jitter, 1 + jitter)
        if self._started <= self._options.cold_requests:
            factor *= self._options.cold_factor
        factor *= self.faults.slow_factor()
        return factor * self._options.service_ms / _MS_PER_S

    def _read_deadline(self, request: web.Request) -> float:
        text = request.headers.get(target_answers.DEADLINE_HEADER, 'inf')
        try:
            left_ms = float(text)
        except ValueError as error:
            raise errors.InvalidArgumentError(
                f'The header {target_answers.DEADLINE_HEADER} is {text!r}',
                'Send the remaining milliseconds as a number',
            ) from error
        return self._clock.monotonic_s() + left_ms / _MS_PER_S
