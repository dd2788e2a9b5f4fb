"""Emulated targets: slots, a queue, and ways to fail."""

import asyncio
import collections
import contextlib
import dataclasses
import ipaddress
import math
import random
from typing import Final

from sardinepier.core import ids
from sardinepier.entry import model
from sardinepier.workbench.policy import scenario

_FIRST_ADDRESS: Final = ipaddress.IPv4Address('10.0.0.1')
_PORT: Final = 80
_FOREVER_S: Final = 3600.0
_OK: Final = 200
_FAILED: Final = 500
_FULL: Final = 503


class ResetError(ConnectionError):
    """The target ended the connection without an answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """What a target answers, with its load at that moment.

    ``rest_s`` is for how long it asks not to be asked again.
    """

    status: int
    has_run: bool
    load: str
    rest_s: float = 0.0


class Target:
    """One target of a service.

    ``sheds`` is the share of requests that it refuses whatever its load,
    ``slowness`` by how much longer it works, and ``is_gone`` that it is down.
    ``limit_per_s`` is the limit that it names, ``is_leaving`` says that it tells so,
    and ``rest_s`` that it refuses all and asks for rest.
    ``last_request_s`` is when it last got a request, and ``last_failure_s`` when it last
    failed one by itself.
    """

    def __init__(
        self,
        listed: model.ListedTarget,
        service: scenario.Service,
        random_source: random.Random,
    ) -> None:
        """Begin in a state that is as likely as it is in the long run."""
        self.listed = listed
        self.sheds = 0.0
        self.slowness = 1.0
        self.is_gone = False
        self.limit_per_s: float | None = None
        self.is_leaving = False
        self.rest_s = 0.0
        self.last_request_s = -math.inf
        self.last_failure_s = -math.inf
        self._service = service
        self._random = random_source
        self._running = 0
        self._waiting: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )
        self._is_failing = random_source.random() < service.noise.share
        self._until_s = self._lasts_s()

    async def serve(self, work_s: float) -> Reply:
        """Work on one request; raise ``ResetError`` when it is lost."""
        self.last_request_s = asyncio.get_running_loop().time()
        if self.is_gone:
            raise ResetError('gone')
        if self.rest_s:
            refusal = self._reply(_FULL, has_run=False)
            return dataclasses.replace(refusal, rest_s=self.rest_s)
        if self._random.random() < self.sheds:
            return self._reply(_FULL, has_run=False)
        if self._fails_now():
            return await self._fail(work_s)
        return await self._work(work_s)

    async def _work(self, work_s: float) -> Reply:
        if not await self._enter():
            return self._reply(_FULL, has_run=False)
        with contextlib.ExitStack() as stack:
            stack.callback(self._leave)
            await asyncio.sleep(work_s * self.slowness)
        is_error = self._random.random() < self._service.error_share
        return self._reply(_FAILED if is_error else _OK, has_run=True)

    async def _fail(self, work_s: float) -> Reply:
        self.last_failure_s = asyncio.get_running_loop().time()
        manner = self._service.noise.manner
        if manner is scenario.Manner.RESET:
            raise ResetError('failing')
        if manner is scenario.Manner.SHED:
            return self._reply(_FULL, has_run=False)
        if manner is scenario.Manner.HANG:
            await asyncio.sleep(_FOREVER_S)
        if manner is scenario.Manner.LATE_ERROR:
            await self._work(work_s)
        return self._reply(_FAILED, has_run=True)

    async def _enter(self) -> bool:
        """Wait for a slot; tell whether there is a place to wait."""
        if self._running < self._service.slots:
            self._running += 1
            return True
        if len(self._waiting) >= self._service.queue:
            return False
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self._leave()
            raise
        return True

    def _leave(self) -> None:
        """Hand the slot to who waits next, or free it."""
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self._running -= 1

    def _reply(self, status: int, *, has_run: bool) -> Reply:
        waiting = sum(not turn.done() for turn in self._waiting)
        load = f'{self._running},{waiting},{self._service.slots}'
        return Reply(status, has_run, load)

    def _fails_now(self) -> bool:
        now_s = asyncio.get_running_loop().time()
        while now_s >= self._until_s:
            self._is_failing = not self._is_failing
            self._until_s += self._lasts_s()
        if not self._is_failing:
            return False
        return self._random.random() < self._service.noise.fails

    def _lasts_s(self) -> float:
        """Return how long the state that begins now lasts."""
        noise = self._service.noise
        if noise.share <= 0:
            return math.inf
        mean_s = noise.length_s
        if not self._is_failing:
            mean_s *= (1 - noise.share) / noise.share
        return self._random.expovariate(1 / mean_s)


def make(
    setup: scenario.Scenario,
    random_source: random.Random,
) -> list[Target]:
    """Return all targets, at addresses of their own."""
    made: list[Target] = []
    for service in setup.services:
        for zone in setup.zones:
            for _ in range(service.targets_a_zone):
                name = f't{len(made)}'
                listed = model.ListedTarget(
                    target_id=ids.TargetId(name),
                    service=ids.ServiceName(service.name),
                    ip=str(_FIRST_ADDRESS + len(made)),
                    port=_PORT,
                    zone=ids.ZoneName(zone),
                    slots=service.slots,
                    state=model.TargetState.READY,
                )
                made.append(Target(listed, service, random_source))
    return made
