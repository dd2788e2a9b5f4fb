"""Emulated targets with slots, a queue and failure modes."""

import asyncio
import collections
import contextlib
import dataclasses
import ipaddress
import math
import random
from collections.abc import Callable, Iterator
from typing import Final

import msgspec

from sardinepier.core import ids
from sardinepier.entry import model
from sardinepier.workbench.policy import scenario

_FIRST_ADDRESS: Final = ipaddress.IPv4Address('10.0.0.1')
_PORT: Final = 80
_HANG_S: Final = 3600.0
_OK: Final = 200
_FAILED: Final = 500
_FULL: Final = 503
_NEARLY_FULL: Final = 0.7
_CRASHING_WORK_S: Final = 0.1
"""How long a request that crashes its target runs before that."""


class ResetError(ConnectionError):
    """The target ended the connection without an answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """What a request means for its target.

    With ``on_crash`` it crashes the target, which then calls it.
    """

    duration_s: float
    on_crash: Callable[[], None] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A target's answer, with its load at that moment.

    ``retry_after_s`` is the backoff that the target states, 0 for none.
    """

    status: int
    has_run: bool
    load: str
    retry_after_s: float = 0.0


class Target:
    """One target of a service.

    ``sheds`` is the share of requests that the target refuses whatever its
    load, ``slowness`` the factor on its processing times, and ``is_gone`` means
    that it is down. ``limit_per_s`` is the limit that it states, and
    ``is_leaving`` means that it states that it is leaving. With ``rest_s`` it
    refuses all requests and states a backoff of that many seconds.
    While ``is_refusing`` its process has ended and its address refuses
    connections. ``on_crashed`` is called when a request has crashed it.
    ``last_request_s`` is the time of the last request, and ``last_failure_s``
    that of the last request that it failed by itself.
    """

    def __init__(
        self,
        listed: model.ListedTarget,
        service: scenario.Service,
        random_source: random.Random,
    ) -> None:
        """Draw the first state with its long-run probability."""
        self.listed = listed
        self.sheds = 0.0
        self.slowness = 1.0
        self.is_gone = False
        self.is_refusing = False
        self.on_crashed: Callable[[Target], None] = _ignore_crash
        self.limit_per_s: float | None = None
        self.is_leaving = False
        self.rest_s = 0.0
        self.last_request_s = -math.inf
        self.last_failure_s = -math.inf
        self._service = service
        self._random = random_source
        self._factors = _factors(service, str(listed.target_id))
        self._open_exchanges: set[asyncio.Timeout] = set()
        self._running = 0
        self._waiting: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )
        self._is_failing = random_source.random() < service.noise.share
        self._state_ends_s = self._state_duration_s()

    async def serve(self, work: Work) -> Reply:
        """Process one request; raise ``ResetError`` if the connection ends."""
        self.last_request_s = asyncio.get_running_loop().time()
        if self.is_gone:
            raise ResetError('gone')
        try:
            async with asyncio.timeout(None) as exchange:
                with self._open(exchange):
                    return await self._serve(work)
        except TimeoutError as error:
            raise ResetError('crashed') from error

    def restart(self, target_id: ids.TargetId) -> None:
        """Start a new process with ``target_id`` at the same address."""
        self.listed = msgspec.structs.replace(self.listed, target_id=target_id)
        self.is_refusing = False

    @contextlib.contextmanager
    def _open(self, exchange: asyncio.Timeout) -> Iterator[None]:
        """Let a crash end the exchange while it is open."""
        self._open_exchanges.add(exchange)
        try:
            yield
        finally:
            self._open_exchanges.discard(exchange)

    async def _serve(self, work: Work) -> Reply:
        if self.rest_s:
            refusal = self._reply(_FULL, has_run=False)
            return dataclasses.replace(refusal, retry_after_s=self.rest_s)
        if self._random.random() < self.sheds:
            return self._reply(_FULL, has_run=False)
        if self._fails_now():
            return await self._fail(work)
        return await self._work(work)

    async def _work(self, work: Work) -> Reply:
        if not await self._acquire_slot():
            return self._reply(_FULL, has_run=False)
        with contextlib.ExitStack() as stack:
            stack.callback(self._release_slot)
            if work.on_crash is not None:
                await asyncio.sleep(_CRASHING_WORK_S)
                work.on_crash()
                self._crash()
            await asyncio.sleep(
                work.duration_s * self.slowness * self._load_factor()
            )
        is_error = self._random.random() < self._service.error_share
        return self._reply(_FAILED if is_error else _OK, has_run=True)

    def _crash(self) -> None:
        """End all open exchanges, and refuse connections until a restart."""
        self.is_refusing = True
        now_s = asyncio.get_running_loop().time()
        for exchange in self._open_exchanges:
            exchange.reschedule(now_s)
        self.on_crashed(self)

    def _load_factor(self) -> float:
        """Return the factor on the processing time of a starting request."""
        speed_factor, full_factor = self._factors
        if self._running > _NEARLY_FULL * self._service.slots:
            return speed_factor * full_factor
        return speed_factor

    async def _fail(self, work: Work) -> Reply:
        self.last_failure_s = asyncio.get_running_loop().time()
        manner = self._service.noise.manner
        if manner is scenario.Manner.RESET:
            raise ResetError('failing')
        if manner is scenario.Manner.SHED:
            return self._reply(_FULL, has_run=False)
        if manner is scenario.Manner.HANG:
            await asyncio.sleep(_HANG_S)
        if manner is scenario.Manner.LATE_ERROR:
            await self._work(work)
        return self._reply(_FAILED, has_run=True)

    async def _acquire_slot(self) -> bool:
        """Wait for a slot; return False if the queue is full."""
        if self._running < self._service.slots:
            self._running += 1
            return True
        if len(self._waiting) >= self._service.queue:
            return False
        waiter: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self._release_slot()
            raise
        return True

    def _release_slot(self) -> None:
        """Pass the slot to the first waiter, or free it."""
        while self._waiting:
            waiter = self._waiting.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        self._running -= 1

    def _reply(self, status: int, *, has_run: bool) -> Reply:
        waiting = sum(not waiter.done() for waiter in self._waiting)
        load = f'{self._running},{waiting},{self._service.slots}'
        return Reply(status, has_run, load)

    def _fails_now(self) -> bool:
        now_s = asyncio.get_running_loop().time()
        while now_s >= self._state_ends_s:
            self._is_failing = not self._is_failing
            self._state_ends_s += self._state_duration_s()
        if not self._is_failing:
            return False
        return self._random.random() < self._service.noise.fails

    def _state_duration_s(self) -> float:
        """Draw the duration of the state that starts now."""
        noise = self._service.noise
        if noise.share <= 0:
            return math.inf
        mean_s = noise.length_s
        if not self._is_failing:
            mean_s *= (1 - noise.share) / noise.share
        return self._random.expovariate(1 / mean_s)


def _ignore_crash(target: Target) -> None:
    """Do nothing: the default of ``on_crashed``."""


def _factors(service: scenario.Service, name: str) -> tuple[float, float]:
    """Return a target's factor on processing times, and that when full.

    They depend on the name only, so that a scenario has the same targets with
    all seeds.
    """
    random_source = random.Random(name)
    sigma = service.speed_spread
    speed_factor = random_source.lognormvariate(-(sigma**2) / 2, sigma)
    if random_source.random() < service.tiring_share:
        return speed_factor, service.tiring_factor
    return speed_factor, 1.0


def make(
    setup: scenario.Scenario,
    random_source: random.Random,
) -> list[Target]:
    """Return all targets of a scenario, each with its own address."""
    made_targets: list[Target] = []
    for service in setup.services:
        for zone in setup.zones:
            for _ in range(service.targets_a_zone):
                name = f't{len(made_targets)}'
                listed = model.ListedTarget(
                    target_id=ids.TargetId(name),
                    service=ids.ServiceName(service.name),
                    ip=str(_FIRST_ADDRESS + len(made_targets)),
                    port=_PORT,
                    zone=ids.ZoneName(zone),
                    slots=service.slots,
                    state=model.TargetState.READY,
                )
                made_targets.append(Target(listed, service, random_source))
    return made_targets
